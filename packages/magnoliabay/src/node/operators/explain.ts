/** Collects from all instances their decisions about a subject and the reasons. */
import * as v from 'valibot'
import { definePeerCall } from '../members'
import type { Peers } from '../members'
import { SUBJECT_KINDS } from './decisionLog'
import type { DecisionEvent, DecisionLog, SubjectKind } from './decisionLog'

export interface Explanation {
  kind: SubjectKind
  id: string
  /** Oldest first; the clocks of instances may differ slightly. */
  events: DecisionEvent[]
  /** Instances that did not answer. */
  unheard: string[]
}

export interface Explainer {
  explain (kind: SubjectKind, id: string): Promise<Explanation>
}

const decisionsCall = definePeerCall<{ kind: SubjectKind, id: string }, { events: DecisionEvent[] }>('operators.decisions', {
  req: v.object({ kind: v.picklist(SUBJECT_KINDS), id: v.string() }),
  res: v.object({ events: v.array(v.object({ atMs: v.number(), instance: v.string(), event: v.string(), fields: v.record(v.string(), v.unknown()) })) })
})
const DECISIONS_TIMEOUT_MS = 2000
/** Largest difference assumed between the clocks of two instances. */
const MAX_CLOCK_DIFFERENCE_MS = 500

export function isSubjectKind (text: string): text is SubjectKind {
  return SUBJECT_KINDS.some(kind => kind === text)
}

export function createExplainer (options: { peers: Peers, decisions: DecisionLog }): Explainer {
  const { peers, decisions } = options
  peers.serve(decisionsCall, ({ kind, id }) => ({ events: decisions.eventsAbout(kind, id) }))
  const queryAllInstances = async (kind: SubjectKind, id: string): Promise<Omit<Explanation, 'kind' | 'id'>> => {
    const answers = await Promise.all(peers.members().map(async member =>
      ({ member: member.id, answer: await peers.call(member.id, decisionsCall, { kind, id }, { timeoutMs: DECISIONS_TIMEOUT_MS }) })))
    const events = answers.flatMap(({ answer }) => answer.ok ? answer.val.events : [])
    return { events: sortByTime(events), unheard: answers.filter(({ answer }) => answer.err).map(({ member }) => member) }
  }
  /** Adds the crashes for which something in a refused request is blamed. */
  const addCrashes = async (kind: SubjectKind, found: Omit<Explanation, 'kind' | 'id'>): Promise<Omit<Explanation, 'kind' | 'id'>> => {
    const suspect = found.events.map(({ fields }) => fields.suspect).find(name => typeof name === 'string')
    if (kind !== 'request' || suspect === undefined) return found
    const crashes = await queryAllInstances('suspect', String(suspect))
    const isRequestEvent = ({ event, fields }: DecisionEvent): boolean => fields.request !== undefined && event !== 'suspect-trial'
    return { events: sortByTime([...found.events, ...crashes.events.filter(event => !isRequestEvent(event))]), unheard: found.unheard }
  }
  /** Adds what servers of the request sent meanwhile and was refused. */
  const addRefusedInputs = async (kind: SubjectKind, found: Omit<Explanation, 'kind' | 'id'>): Promise<Omit<Explanation, 'kind' | 'id'>> => {
    const servers = new Set(found.events.map(({ fields }) => fields.server).filter(server => typeof server === 'string'))
    if (kind !== 'request' || servers.size === 0) return found
    const answers = await Promise.all([...servers].map(server => queryAllInstances('server', server)))
    const refused = answers.flatMap(({ events }) => events).filter(({ event }) => event === 'input-refused')
    return { events: sortByTime([...found.events, ...eventsDuring(refused, found.events)]), unheard: found.unheard }
  }
  return {
    explain: async (kind, id) => {
      const found = await addRefusedInputs(kind, await addCrashes(kind, await queryAllInstances(kind, id)))
      const model = found.events.map(({ fields }) => fields.model).find(name => typeof name === 'string')
      if (kind !== 'request' || model === undefined) return { kind, id, ...found }
      const modelEvents = await queryAllInstances('model', String(model))
      return { kind, id, events: sortByTime([...found.events, ...eventsDuring(modelEvents.events, found.events)]), unheard: found.unheard }
    }
  }
}

/** Returns the events during the request, since cell leaders on any instance may decide about its model meanwhile. */
function eventsDuring (events: readonly DecisionEvent[], requestEvents: readonly DecisionEvent[]): DecisionEvent[] {
  const endMs = requestEvents.at(-1)!.atMs
  const tookMs = requestEvents.map(({ fields }) => Number(fields.tookMs ?? 0)).reduce((longestMs, ms) => Math.max(longestMs, ms), 0)
  const startMs = Math.min(requestEvents[0]!.atMs, endMs - tookMs)
  return events.filter(({ atMs, fields }) => fields.request === undefined && atMs >= startMs - MAX_CLOCK_DIFFERENCE_MS && atMs <= endMs + MAX_CLOCK_DIFFERENCE_MS)
}

function sortByTime (events: DecisionEvent[]): DecisionEvent[] {
  return events.sort((left, right) => left.atMs - right.atMs)
}
