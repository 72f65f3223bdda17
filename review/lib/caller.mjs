/** A client on one kept connection: sends one request after the other, and connects anew when the connection has closed. */
import { connect } from 'node:net'

const HEAD_END = '\r\n\r\n'

/** Reads one answer with a length from the connection. Resolves with undefined where it closes before the answer is complete. */
function readAnswer (socket) {
  return new Promise(resolve => {
    let bytes = Buffer.alloc(0)
    const settle = answer => {
      socket.off('data', onData)
      socket.off('close', onClose)
      resolve(answer)
    }
    const onData = chunk => {
      bytes = Buffer.concat([bytes, chunk])
      const headEnd = bytes.indexOf(HEAD_END)
      if (headEnd < 0) return
      const head = bytes.subarray(0, headEnd).toString('latin1')
      if (/^transfer-encoding: *chunked/mi.test(head)) {
        if (bytes.indexOf('0\r\n\r\n', headEnd) < 0) return
        return settle({ status: Number(head.split(' ')[1]), head, body: bytes.subarray(headEnd + HEAD_END.length) })
      }
      if (/^HTTP\/1.1 204 /.test(head)) return settle({ status: 204, head, body: Buffer.alloc(0) })
      const length = Number(/^content-length: *(\d+)/mi.exec(head)?.[1] ?? NaN)
      if (Number.isNaN(length)) throw new Error(`an answer without a length: ${head}`)
      if (bytes.length < headEnd + HEAD_END.length + length) return
      settle({ status: Number(head.split(' ')[1]), head, body: bytes.subarray(headEnd + HEAD_END.length, headEnd + HEAD_END.length + length) })
    }
    const onClose = () => settle(undefined)
    socket.on('data', onData)
    socket.on('close', onClose)
  })
}

function open (machine) {
  return new Promise(resolve => {
    const socket = connect({ host: machine.host, port: machine.port, noDelay: true })
    socket.on('error', () => {})
    socket.once('connect', () => resolve(socket))
    socket.once('close', () => resolve(undefined))
  })
}

/**
 * Sends requests until `isOver()`. `next()` gives `{ id, text }`. `onEnd({ id, machine, answer, isKept })` is called with the end of
 * each: `answer` is undefined where the connection closed without one, `isKept` says that it had brought an answer before.
 */
export async function callInTurn ({ machine, next, onEnd, isOver, pauseMs = 0 }) {
  let socket
  let answered = 0
  while (!isOver()) {
    if (socket === undefined || socket.destroyed) {
      socket = await open(machine)
      answered = 0
      if (socket === undefined) {
        await new Promise(resolve => setTimeout(resolve, 200))
        continue
      }
    }
    const { id, text } = next()
    const answering = readAnswer(socket)
    socket.write(text)
    const answer = await answering
    onEnd({ id, machine, answer, isKept: answered > 0 })
    if (answer === undefined) socket = undefined
    else {
      answered += 1
      if (/^connection: *close/mi.test(answer.head)) {
        socket.destroy()
        socket = undefined
      }
    }
    if (pauseMs > 0) await new Promise(resolve => setTimeout(resolve, pauseMs))
  }
  socket?.destroy()
}
