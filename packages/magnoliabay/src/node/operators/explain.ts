/** Asks every instance what it decided about a subject, and why. */
import { definePeerCall } from '../members'
import type { Peers } from '../members'
import { SUBJECT_KINDS } from './decisionLog'
import type { DecisionEvent, DecisionLog, SubjectKind } from './decisionLog'

export interface Explanation {
  kind: SubjectKind
  id: string
  /** The oldest first. Clocks of instances may differ by a little. */
  events: DecisionEvent[]
  /** Instances that did not answer. */
  unheard: string[]
}

export interface Explainer {
  explain (kind: SubjectKind, id: string): Promise<Explanation>
}

const decisionsAbout = definePeerCall<{ kind: SubjectKind, id: string }, { events: DecisionEvent[] }>('operators.decisions')
const ASK_TIMEOUT_MS = 2000
/** By how much clocks of two instances may differ. */
const CLOCK_SLACK_MS = 500

export function isSubjectKind (text: string): text is SubjectKind {
  return SUBJECT_KINDS.some(kind => kind === text)
}

export function createExplainer (options: { peers: Peers, decisions: DecisionLog }): Explainer {
  const { peers, decisions } = options
  peers.serve(decisionsAbout, ({ kind, id }) => ({ events: decisions.about(kind, id) }))
  const askAll = async (kind: SubjectKind, id: string): Promise<Omit<Explanation, 'kind' | 'id'>> => {
    const answers = await Promise.all(peers.members().map(async member =>
      ({ member: member.id, answer: await peers.call(member.id, decisionsAbout, { kind, id }, { timeoutMs: ASK_TIMEOUT_MS }) })))
    const events = answers.flatMap(({ answer }) => answer.ok ? answer.val.events : [])
    return { events: inOrder(events), unheard: answers.filter(({ answer }) => answer.err).map(({ member }) => member) }
  }
  return {
    explain: async (kind, id) => {
      const own = await askAll(kind, id)
      const model = own.events.map(({ fields }) => fields.model).find(name => typeof name === 'string')
      if (kind !== 'request' || model === undefined) return { kind, id, ...own }
      const around = await askAll('model', String(model))
      return { kind, id, events: inOrder([...own.events, ...meanwhile(around.events, own.events)]), unheard: own.unheard }
    }
  }
}

/** A request waits for what stewards decide about its model, at whatever instance they are. */
function meanwhile (events: readonly DecisionEvent[], own: readonly DecisionEvent[]): DecisionEvent[] {
  const endMs = own.at(-1)!.atMs
  const tookMs = own.map(({ fields }) => Number(fields.tookMs ?? 0)).reduce((most, ms) => Math.max(most, ms), 0)
  const startMs = Math.min(own[0]!.atMs, endMs - tookMs)
  return events.filter(({ atMs, fields }) => fields.request === undefined && atMs >= startMs - CLOCK_SLACK_MS && atMs <= endMs + CLOCK_SLACK_MS)
}

function inOrder (events: DecisionEvent[]): DecisionEvent[] {
  return events.sort((left, right) => left.atMs - right.atMs)
}
