import { expect } from 'chai'
import { connect } from 'node:net'
import { expectedText } from '@magnoliabay/standins'
import type { EngineFaults } from '@magnoliabay/standins'
import { parseHostPort } from '../../utils'
import { contentOf, createRig, errorOf, until } from './rig'
import type { Answer, Rig } from './rig'

const PROMPT = 'when is the christening?'
const WHOLE = expectedText({ model: 'm', prompt: PROMPT })

/** `whole`: the caller's own answer to its end. Else the code that it is told, and whether it ran. */
type Seen = 'whole' | `${string} not-run` | `${string} may-have-run`

function seenBy (answer: Answer): Seen {
  const error = errorOf(answer)
  if (error !== undefined) return `${error.code} ${error.not_run ? 'not-run' : 'may-have-run'}`
  const isWhole = !answer.isCut && contentOf(answer) === WHOLE
  const hasEnd = answer.headers['content-type'] === 'application/json' || answer.text.endsWith('data: [DONE]\n\n')
  return isWhole && hasEnd ? 'whole' : 'broken unsaid may-have-run'
}

interface FaultCase {
  title: string
  /** Faults of each engine in the order in which routing names them. */
  faults: ReadonlyArray<Partial<EngineFaults>>
  canResume?: boolean
  whole: Seen
  streamed: Seen
  /** Runs that the engines counted, at most. */
  runs: number
  /** Virtual time to pass once an engine has the request, milliseconds. */
  elapseMs?: number
}

// The caller sends a completion; the first engine of its route has the fault, the second may have another.
// It sees its whole answer, or a typed failure; and where that says not run, no engine has counted a run.
const CASES: readonly FaultCase[] = [
  { title: 'no fault', faults: [{}, {}], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'both engines refuse', faults: [{ refuse: true }, { refuse: true }], whole: 'backend_failed not-run', streamed: 'backend_failed not-run', runs: 0 },
  { title: 'the first engine refuses', faults: [{ refuse: true }, {}], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'the first engine is dead before', faults: [{ crash: true }, {}], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'both engines are dead', faults: [{ crash: true }, { crash: true }], whole: 'backend_failed not-run', streamed: 'backend_failed not-run', runs: 0 },
  { title: 'the first dies during, the second refuses', faults: [{ crashOnPrompt: PROMPT, restartAfterMs: 0 }, { refuse: true }], whole: 'backend_failed may-have-run', streamed: 'backend_failed may-have-run', runs: 1 },
  { title: 'the first dies during', faults: [{ crashOnPrompt: PROMPT, restartAfterMs: 0 }, {}], whole: 'whole', streamed: 'whole', runs: 2 },
  { title: 'connections break after the first byte, no resume', faults: [{ dieAfterFirstByte: true }, {}], canResume: false, whole: 'whole', streamed: 'answer_cut may-have-run', runs: 3 },
  { title: 'connections break after the last token, no resume', faults: [{ dieBeforeEnd: true }, {}], canResume: false, whole: 'whole', streamed: 'answer_cut may-have-run', runs: 3 },
  { title: 'connections break again and again', faults: [{ dieAfterFirstByte: true }, {}], whole: 'whole', streamed: 'answer_cut may-have-run', runs: 3 },
  { title: 'answers for another request', faults: [{ crossedAnswers: true }, {}], whole: 'whole', streamed: 'whole', runs: 3 },
  { title: 'answers for another request everywhere', faults: [{ crossedAnswers: true }, { crossedAnswers: true }], whole: 'backend_failed may-have-run', streamed: 'backend_failed may-have-run', runs: 4 },
  { title: 'every answer twice', faults: [{ doubleAnswer: true }, { doubleAnswer: true }], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'headers, then silence', faults: [{ stall: true }, {}], whole: 'whole', streamed: 'whole', runs: 3, elapseMs: 45_000 }
]

describe('completions: faults of engines', () => {
  let rig: Rig
  const runs = (): number => rig.fleet.engines.flatMap(engine => engine.state.records().requests).filter(record => record.outcome !== 'refused').length
  const start = async (faultCase: FaultCase): Promise<void> => {
    rig = await createRig({ engines: faultCase.faults.map(() => ({ canResume: faultCase.canResume ?? true })), limits: { deadlineMs: 600_000 } })
    await Promise.all(faultCase.faults.map((faults, index) => rig.fleet.engines[index]!.state.faults.set(faults)))
  }
  /** Lets the silence pass each time that an engine has taken the request up. */
  const elapseWhileRunning = async (asked: Promise<Answer>, ms: number): Promise<Answer> => {
    const progress = { isOver: false }
    asked.finally(() => { progress.isOver = true }).catch(() => {})
    const pass = async (counted: number): Promise<void> => {
      await until(() => progress.isOver || runs() > counted)
      if (progress.isOver) return
      const now = runs()
      await new Promise(resolve => setTimeout(resolve, 50))
      rig.clock.elapse(ms)
      await pass(now)
    }
    await pass(0)
    return await asked
  }
  afterEach(() => rig.close())

  const modes = [{ title: 'whole', stream: false }, { title: 'streamed', stream: true }] as const
  CASES.forEach(faultCase => modes.forEach(({ title, stream }) => it(`${faultCase.title}: ${title}`, async () => {
    await start(faultCase)
    const asked = rig.chat(0, PROMPT, { stream })
    const answer = faultCase.elapseMs === undefined ? await asked : await elapseWhileRunning(asked, faultCase.elapseMs)
    const seen = seenBy(answer)
    expect(seen).to.equal(faultCase[title])
    expect(runs()).to.be.at.most(faultCase.runs)
    if (seen.endsWith('not-run')) expect(runs()).to.equal(0)
    expect(WHOLE.startsWith(errorOf(answer) === undefined ? contentOf(answer) : '')).to.equal(true)
  })))
})

describe('completions: the caller\'s side', () => {
  let rig: Rig
  afterEach(() => rig.close())
  const outcomes = (): string[] => rig.fleet.engines.flatMap(engine => engine.state.records().requests).map(record => record.outcome)
  const LONG = 'long [tokens=100000]'

  // The caller goes in the middle of its stream. The engine holds the run for a resume, so only a cancel frees it.
  it('cancels the run when the caller goes', async () => {
    rig = await createRig({ engines: [{ tokenMs: 1 }] })
    const gone = new AbortController()
    const asked = rig.call(0, '/v1/chat/completions', { model: 'm', stream: true, max_tokens: 100_000, messages: [{ role: 'user', content: LONG }] }, {}, gone.signal).catch(() => undefined)
    await until(() => (rig.fleet.engines[0]!.state.records().requests[0]?.tokens ?? 0) > 3)
    gone.abort()
    await asked
    await until(() => outcomes()[0] === 'cancelled')
  })

  const aborts: ReadonlyArray<{ title: string, cause: () => void, code: string }> = [
    { title: 'the deadline', cause: () => rig.clock.elapse(60_000), code: 'deadline_exceeded may-have-run' },
    { title: 'the withdrawal of the key', cause: () => rig.withdraw('key-1'), code: 'key_withdrawn may-have-run' }
  ]
  aborts.forEach(({ title, cause, code }) => it(`cuts a stream at ${title} with a typed event, and cancels the run`, async () => {
    rig = await createRig({ engines: [{ tokenMs: 1 }], limits: { engineGapMs: 600_000, engineFirstByteMs: 600_000 } })
    const asked = rig.chat(0, LONG, { stream: true, max_tokens: 100_000 })
    await until(() => (rig.fleet.engines[0]!.state.records().requests[0]?.tokens ?? 0) > 3)
    cause()
    const answer = await asked
    expect(seenBy(answer)).to.equal(code)
    expect([answer.isCut, answer.text.includes('[DONE]')]).to.deep.equal([true, false])
    await until(() => outcomes()[0] === 'cancelled')
  }))

  // The caller stops reading, and its connection stays open. The engine's answer is held back, not gathered;
  // after the longest wait the caller is cut, and sees no end mark.
  it('cuts a caller that reads nothing any more', async () => {
    rig = await createRig({ engines: [{}], limits: { deadlineMs: 600_000, engineGapMs: 600_000 } })
    const socket = connect(parseHostPort(rig.entries[0]!.address))
    const body = JSON.stringify({ model: 'm', stream: true, max_tokens: 100_000, messages: [{ role: 'user', content: LONG }] })
    socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer k\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    await until(() => outcomes()[0] === 'completed')
    // The wait begins once the buffers between are full, whenever that is.
    for (let turn = 0; turn < 10; turn += 1) {
      await new Promise(resolve => setTimeout(resolve, 100))
      rig.clock.elapse(31_000)
    }
    let text = ''
    socket.on('data', chunk => { text = (text + String(chunk)).slice(-100) })
    socket.on('error', () => {})
    await new Promise(resolve => socket.on('close', resolve))
    expect(text.includes('[DONE]')).to.equal(false)
  })

  // One request is open and as many are allowed: the next one is told at once, with a time to come again.
  it('sheds beyond the limit at once, as not run', async () => {
    rig = await createRig({ engines: [{ tokenMs: 1 }], limits: { maxOpenRequests: 1 } })
    const gone = new AbortController()
    const open = rig.call(0, '/v1/chat/completions', { model: 'm', stream: true, max_tokens: 100_000, messages: [{ role: 'user', content: LONG }] }, {}, gone.signal).catch(() => undefined)
    await until(() => outcomes().length === 1)
    const shed = await rig.chat(0, PROMPT)
    expect([shed.status, errorOf(shed)?.code, errorOf(shed)?.not_run, shed.headers['retry-after']]).to.deep.equal([503, 'overloaded', true, '1'])
    gone.abort()
    await open
  })

  // A request kills each engine that runs it, and its caller sends it again at the other instances.
  it('runs a crashing request on two engines at most, and refuses it at every instance', async () => {
    rig = await createRig({ entries: 3, engines: [{}, {}, {}, {}] })
    await Promise.all(rig.fleet.engines.map(engine => engine.state.faults.set({ crashOnPrompt: 'poison', restartAfterMs: 0 })))
    const answers: Answer[] = []
    for (const index of [0, 1, 2, 0]) answers.push(await rig.chat(index, 'poison'))
    const dead = rig.fleet.engines.filter(engine => engine.state.isDown()).length
    expect(dead).to.equal(2)
    expect(answers.slice(1).map(answer => errorOf(answer)?.code)).to.deep.equal(['crashes_backend', 'crashes_backend', 'crashes_backend'])
    expect(answers.slice(1).map(answer => errorOf(answer)?.not_run)).to.deep.equal([true, true, true])
    const innocent = await rig.chat(1, PROMPT)
    expect(contentOf(innocent)).to.equal(WHOLE)
  })
})
