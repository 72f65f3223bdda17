import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { formatTrace } from '../commands/trace'
import { parseLogLine, traceRequest } from '../logTrace'
import { REFUSAL_REASON_DESCRIPTIONS } from '../serving/refusalReasons'

const line = (second: number, rest: string): string => `time=2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z level=info ${rest}`

const LOGS = [
  line(1, 'event=config-in-force instance=i1 version=7 source=store'),
  line(2, 'event=placement-step instance=i2 step=unload engine=e1 model=old why="for m1" waiting=3'),
  line(3, 'event=order-sent instance=i2 server=e1 operation=load model=m1 outcome=accepted'),
  line(3, 'event=order-sent instance=i2 server=e2 operation=load model=m9 outcome=accepted'),
  line(3, 'event=orderer-lost instance=i2 fence=4 reason="lease ended"'),
  line(4, 'event=attempt-failed instance=i1 request=r1 server=e1 reason="socket hang up" model=m1'),
  line(5, 'event=request-refused instance=i1 request=r1 reason=model-not-in-time status=503 tookMs=900 model=m1 team=t1'),
  line(6, 'event=request-ended instance=i1 request=r2 outcome="relayed 200" tookMs=5'),
  'not one of ours'
]

describe('traceRequest', () => {
  it('finds the lines of a request, related events and the description of the reason', () => {
    const trace = traceRequest([...LOGS].reverse(), 'r1')
    expect(trace.requestEntries.map(entry => entry.event)).to.deep.equal(['attempt-failed', 'request-refused'])
    expect(trace.relatedEntries.map(entry => entry.event)).to.include.members(['config-in-force', 'order-sent', 'orderer-lost'])
    expect(trace.relatedEntries.some(entry => entry.fields.get('model') === 'm9')).to.equal(false)
    expect(trace.cause).to.equal(REFUSAL_REASON_DESCRIPTIONS['model-not-in-time'])
    expect(formatTrace(trace)).to.match(/^The request:\n/)
  })

  it('reports only that no line names the request for an unknown or forged id', () => {
    expect(traceRequest(LOGS, 'r1" event=request-ended').gaps).to.have.length(1)
  })

  it('reports that the process that handled the request died', () => {
    const trace = traceRequest([...LOGS.slice(0, 6), line(9, 'event=instance-started instance=i1')], 'r1')
    expect(trace.gaps.join(' ')).to.match(/No line shows.*i1 restarted/)
  })

  it('reports that lines were left out', () => {
    const trace = traceRequest([...LOGS, line(7, 'event=log-lines-left-out count=3')], 'r1')
    expect(trace.gaps.join(' ')).to.match(/left out/)
  })

  it('parses quoted values', () => {
    expect(parseLogLine(line(1, 'event=x why="for \\"m\\" now" count=2'))?.fields.get('why')).to.equal('for "m" now')
  })
})

describe('the trace of a refused resumption', () => {
  const at = (second: number, text: string): string => `time=2026-01-01T00:00:0${second}.000Z level=info ${text}`
  const RESUMED = [
    at(1, 'event=software-versions instance=i2 service=llm versions=v1,v1.1'),
    at(2, 'event=attempt-cut instance=i1 request=r1 server=s1 softwareVersion=v1.1 why="connection closed" lastEvent=7'),
    at(3, 'event=request-ended instance=i9 request=r9 outcome="relayed 200" tookMs=3 server=s9'),
    at(4, 'event=instance-started instance=i1'),
    at(5, 'event=stream-version-resolved instance=i2 request=r2 stream=r1 lastEvent=7 source=none versions=v1,v1.1 asked=6 replied=6'),
    at(5, 'event=request-refused instance=i2 request=r2 reason=stream-version-unknown status=503 tookMs=160 resumes=r1 resumesAfter=7')
  ]

  /** Guards against a refusal whose cause cannot be found: it lies with the attempt that began the stream, at another instance. */
  it('has the lines of the attempt that began the stream, and what happened to its instance', () => {
    const trace = traceRequest(RESUMED, 'r2')
    expect(trace.requestEntries.map(({ event }) => event)).to.deep.equal(['stream-version-resolved', 'request-refused'])
    expect(trace.relatedEntries.map(({ event }) => event)).to.deep.equal(['software-versions', 'attempt-cut', 'instance-started'])
    expect(trace.cause).to.include('begin the stream anew')
  })
})

describe('the trace of a request that is refused for crashes', () => {
  const at = (minute: number, text: string): string => `time=2026-01-01T00:0${minute}:00.000Z level=info ${text}`
  const SUSPECT = 'suspect=llm/part:91bd3f06'
  const CRASHES = [
    at(0, 'event=server-crashed instance=i1 server=s1 suspects=llm/part:5c1e07a2,llm/part:91bd3f06'),
    at(1, 'event=server-crashed instance=i2 server=s2 suspects=llm/part:91bd3f06'),
    at(1, 'event=server-crashed instance=i2 server=s8 suspects=llm/part:77777777'),
    at(2, `event=suspect-blamed instance=i1 ${SUSPECT} crashes=2 servers=s1,s2`),
    at(2, 'event=suspect-blamed instance=i1 suspect=llm/part:77777777 crashes=2 servers=s8'),
    at(3, `event=suspect-trial instance=i2 request=r0 ${SUSPECT} reason=first`),
    at(5, `event=request-refused instance=i3 request=r1 reason=crashes-servers status=503 tookMs=0 ${SUSPECT} crashed=s1,s2`),
    at(6, 'event=server-crashed instance=i1 server=s1 suspects=llm/part:91bd3f06')
  ]

  /** Guards against a refusal whose cause cannot be found: the crashes were minutes before, at other instances. */
  it('has the crashes and the decisions about its suspect, and no others', () => {
    const trace = traceRequest(CRASHES, 'r1')
    expect(trace.relatedEntries.map(({ line: text }) => text)).to.deep.equal([CRASHES[0], CRASHES[1], CRASHES[3], CRASHES[5]])
    expect(trace.cause).to.include('crashed')
  })
})

describe('the operators\' guide', () => {
  it('explains every reason', () => {
    const guide = readFileSync('docs/OPERATIONS.md', 'utf8')
    Object.keys(REFUSAL_REASON_DESCRIPTIONS).forEach(reason => expect(guide).to.contain(`\`${reason}\``))
  })
})
