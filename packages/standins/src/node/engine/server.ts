/**
 * Serves the engines' published protocol over an {@link EngineStandIn}.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from 'magnoliabay/backend/protocol'
import type { OrderReply } from 'magnoliabay/backend/protocol'
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { createAdminTarget, handleAdmin } from '../admin'
import type { AdminTarget } from '../admin'
import { asText, parseObject, readText, sendJson } from '../http/json'
import { createListener } from '../http/listener'
import { createBrittleness } from '../http/brittleness'
import { backoffHeaders, stateInAnswer } from '../http/statements'
import { sendStream, sendBody } from './delivery'
import type { ResponseContent } from './delivery'
import { readGenerateRequest, readOrder } from './requests'
import type { Run } from './run'
import type { EngineStandIn } from './standIn'
import type { AnswerShape, RefusalKind } from './types'

export interface EngineServerOptions {
  engine: EngineStandIn
  clock: Clock
  host?: string
  port?: number
}

export interface EngineServer {
  readonly address: string
  readonly admin: AdminTarget
  /** How often the engine fell over while it was brittle. */
  falls (): number
  close (): Promise<void>
}

type Handler = (req: IncomingMessage, res: ServerResponse, url: URL) => void | Promise<void>

const REFUSAL_STATUS: Readonly<Record<RefusalKind, number>> = {
  'unknown-model': 404, invalid: 400, leaving: 503, refusing: 503, down: 503
}
/** How long a run whose connection broke continues without a resume, milliseconds. */
const RESUME_TIMEOUT_MS = 10_000
const BASE_URL = 'http://engine'

export async function createEngineServer (options: EngineServerOptions): Promise<EngineServer> {
  const { engine, clock } = options
  const { faults } = engine
  const admin = createAdminTarget(faults, () => ({ ...engine.records(), falls: brittleness.falls() }))
  const brittleness = createBrittleness({ current: () => faults.current, setDown: crash => { faults.set({ crash }) }, clock })
  const readerCounts = new Map<Run, number>()

  /** Ends a run that has no reader, at once or, when the engine supports resumes, after the resume timeout. */
  const abandonIfUnread = (run: Run): void => {
    const abandon = (): void => {
      if ((readerCounts.get(run) ?? 0) === 0) run.end('abandoned', clock.now())
    }
    if (!engine.state().canResume) return abandon()
    const cancel = clock.schedule(RESUME_TIMEOUT_MS, abandon)
    run.signal.addEventListener('abort', cancel, { once: true })
  }

  const attach = (run: Run, res: ServerResponse): void => {
    readerCounts.set(run, (readerCounts.get(run) ?? 0) + 1)
    res.on('close', () => {
      const remaining = (readerCounts.get(run) ?? 1) - 1
      if (remaining > 0) {
        readerCounts.set(run, remaining)
        return
      }
      readerCounts.delete(run)
      if (!run.signal.aborted) abandonIfUnread(run)
    })
  }

  const contentFor = (run: Run): ResponseContent => {
    if (!faults.current.crossedAnswers) return { requestId: run.request.requestId, answer: run.answer }
    const other = engine.findOtherRun(run)
    return { requestId: other?.request.requestId ?? `crossed-${run.request.requestId}`, answer: other?.answer ?? run.answer }
  }

  const complete = (shape: AnswerShape): Handler => async (req, res) => {
    const body = parseObject(await readText(req))
    const request = readGenerateRequest(shape, body, req.headers)
    const admission = brittleness.take()
    if (admission === 'fallen') {
      res.destroy()
      return
    }
    if (admission === 'rejected') return sendJson(res, REFUSAL_STATUS.refusing, { error: { type: 'full' } }, { [NOT_RUN_HEADER]: 'true', [REQUEST_ID_HEADER]: request.requestId })
    res.once('close', brittleness.release)
    const submission = engine.submit(request)
    if (submission.err) {
      const { kind } = submission.val
      const headers = { [NOT_RUN_HEADER]: 'true', [REQUEST_ID_HEADER]: request.requestId, ...(kind === 'refusing' ? backoffHeaders(faults.current) : {}) }
      return sendJson(res, REFUSAL_STATUS[kind], { error: { type: kind } }, headers)
    }
    const run = submission.val
    attach(run, res)
    if (faults.current.lateAnswerMs > 0) await sleep(clock, faults.current.lateAnswerMs)
    const delivery = { run, content: contentFor(run), res, faults: faults.current }
    if (body.stream === true) return sendStream(delivery, 0)
    return sendBody(delivery)
  }

  const resume: Handler = (_req, res, url) => {
    const run = engine.findRun(url.searchParams.get('request') ?? '')
    if (run === undefined || !engine.state().canResume) return sendJson(res, 404, { error: { type: 'not-held' } })
    attach(run, res)
    const from = Number(url.searchParams.get('from') ?? 0)
    return sendStream({ run, content: contentFor(run), res, faults: faults.current }, from)
  }

  const order: Handler = async (req, res) => {
    const parsedOrder = readOrder(parseObject(await readText(req)))
    if (parsedOrder === undefined) return sendJson(res, 400, { error: { type: 'invalid' } })
    const reply = await engine.executeOrder(parsedOrder)
    if (reply === undefined) {
      res.destroy()
      return
    }
    return sendOrderReply(res, reply)
  }

  const sendOrderReply = async (res: ServerResponse, reply: OrderReply): Promise<void> => {
    const { orderAnswer, orderAnswerDelayMs } = faults.current
    if (orderAnswer === 'never') return
    if (orderAnswer === 'late') await sleep(clock, orderAnswerDelayMs)
    const { socket } = res
    sendJson(res, 200, reply)
    if (orderAnswer !== 'twice') return
    const body = JSON.stringify(reply)
    socket?.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  }

  const handlers: Readonly<Record<string, Handler>> = {
    'POST /v1/chat/completions': complete('chat'),
    'POST /v1/completions': complete('text'),
    'POST /control/cancel': async (req, res) => {
      const cancelled = engine.cancel(asText(parseObject(await readText(req)).requestId))
      sendJson(res, cancelled ? 200 : 404, { cancelled })
    },
    'GET /control/resume': resume,
    'POST /control/orders': order,
    'GET /control/state': (_req, res) => sendJson(res, 200, engine.state()),
    'GET /control/load': (_req, res) => sendJson(res, 200, engine.load()),
    'GET /control/events': (_req, res, url) => sendJson(res, 200, engine.cacheEvents(Number(url.searchParams.get('after') ?? 0)))
  }

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const url = new URL(req.url ?? '/', BASE_URL)
    if (handleAdmin(admin, url.pathname, req, res)) return
    stateInAnswer(res, faults.current, engine.state().leaving)
    const handler = handlers[`${req.method} ${url.pathname}`]
    if (handler === undefined) return sendJson(res, 404, { error: { type: 'not-found' } }, { [NOT_RUN_HEADER]: 'true' })
    await handler(req, res, url)
  }

  const listener = await createListener({
    host: options.host,
    port: options.port,
    handler: (req, res) => { serve(req, res).catch(() => res.destroy()) }
  })
  engine.onLifecycle(event => event === 'crashed' ? listener.refuse() : listener.accept())
  faults.onChange((_current, changed) => {
    if (changed.silentConnections === true) listener.silenceConnections()
  })
  return {
    address: listener.address,
    admin,
    falls: brittleness.falls,
    close: async () => {
      await engine.close()
      await listener.close()
    }
  }
}
