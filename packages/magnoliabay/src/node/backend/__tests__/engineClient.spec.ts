/** Answers of engines to control calls, without the form of their protocol. */
import { expect } from 'chai'
import { createInputMonitor } from '../../inputs'
import { createLogger } from '../../logger'
import { startRawServer } from '../../serving/__tests__/rawServer'
import { createEngineClient } from '../engineClient'
import type { EngineClient } from '../engineClient'

type Call = (client: EngineClient, address: string) => Promise<{ err: boolean, val: unknown }>

const CALLS: Record<string, Call> = {
  'an order': (client, address) => client.order(address, { orderId: 'o', fence: 1, action: 'load' }, 1000),
  'its state': (client, address) => client.state(address),
  'its load': (client, address) => client.loadReport(address),
  'its cache': (client, address) => client.cacheEvents(address, 0)
}
const WRONG_BODIES = ['null', '[]', '{}', '{"models":null}', '{"events":[null],"oldest":0}', '{"orderId":1,"outcome":"x"}', '\u0001{']

describe('an engine that is asked for', () => {
  /** Guards against state of other types, on which a handler or a timer fails later and ends the process. */
  Object.entries(CALLS).forEach(([name, call]) => it(`${name} and answers with another form counts as one that has not answered`, async () => {
    for (const body of WRONG_BODIES) {
      const lines: string[] = []
      const server = await startRawServer(socket => socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`))
      const client = createEngineClient({ inputs: createInputMonitor(createLogger({ write: line => lines.push(line) })), idOf: () => 'e1' })
      const result = await call(client, server.address)
      expect(result.err, body).to.equal(true)
      expect(result.val, body).to.include({ kind: 'no-answer' })
      if (body !== '\u0001{') expect(lines[0]).to.match(/event=input-refused/).and.match(/server=e1/)
      await client.close()
      await server.close()
    }
  }))
})
