/**
 * Loaded into an instance beside the program: a signal cuts its links to backend servers, another heals them. Connections
 * that are open live on, new ones get no answer, as where a partition drops the packets that open a connection.
 */
import { Socket } from 'node:net'

/** Backend servers alone have this address; the store and the other instances are reached all the while. */
const SERVERS_HOST = '127.0.0.2'
const { connect } = Socket.prototype
let isCut = false

Socket.prototype.connect = function (...args) {
  const [options] = [args[0]].flat()
  return isCut && options?.host === SERVERS_HOST ? this : connect.apply(this, args)
}
process.on('SIGUSR2', () => { isCut = !isCut })
