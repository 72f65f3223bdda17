/** Explains each reason for which a request ends without a response; the `trace` command prints these texts. */
import type { EndReason } from './refusal'

export const REFUSAL_REASON_DESCRIPTIONS: Readonly<Record<EndReason, string>> = {
  'no-config': 'The instance knew no configuration yet: it had just started, and had received none from the store or a peer.',
  'no-route': 'No route of the active configuration matches host and path. Compare its version with the one that has the route.',
  'unknown-key': 'No team of the active configuration has the key, or none was sent. Compare its version with the one that has the key.',
  'over-allowance': 'The team had used up its rate and burst within the window. decidedBy=share: the instance could not reach the team\'s home instance and had only its own share.',
  'no-server': 'No server of the service was usable: none was listed, all were leaving, none could be reached, or the model is not in the configuration.',
  'model-not-in-time': 'No engine had the model, and it could not be loaded before the caller would have given up. retryAfterMs is when it was expected to be loaded.',
  'no-orderer': 'No engine had the model, and there was no leader to order a load: leadership was changing, or this instance was cut off.',
  'stream-version-unknown': 'The caller resumed a stream, servers have several software versions, and no instance that was asked knows at which one the stream began: it was not named, or the record was lost with the instances that had it. stream-version-resolved tells who was asked. The caller has to begin the stream anew.',
  'stream-version-absent': 'No server of the software version at which the stream began takes requests now; one crashed recently and may be back.',
  'stream-version-gone': 'All servers of the software version at which the stream began have left. The caller has to begin the stream anew.',
  'server-full': 'Servers rejected the request, without running it, each time it was sent; or they are brittle and had no place for it.',
  'server-cold': 'The servers that could take it had just started, and had already received as many requests in that second as they can handle.',
  'server-limited': 'The servers that could take it state a rate limit and had reached it, and the model could not be loaded elsewhere in time. retryAfterMs is when one has a place again.',
  'server-backoff': 'The servers that could take it have asked this instance for backoff, and the model could not be loaded elsewhere in time. retryAfterMs is when the first of them takes requests again.',
  'retry-budget-spent': 'A server rejected the request without running it, and the retry budget of the service was used up.',
  'crashes-servers': 'Servers crashed on requests with the same prompt part, or on this very request, before an answer began. suspect names it, crashed the servers; it is tried again after a while, or with new software.',
  'route-timeout': 'The route\'s timeout or the caller\'s deadline was reached.',
  'server-failed': 'The server closed the connection or sent a response that cannot be passed on, and the request may not be run again.',
  'answer-cut': 'The server closed the connection after a part of its response had been passed on to the caller.',
  'caller-gone': 'The caller closed its connection, or read so slowly that its response was ended: answer-buffer-short then names the request.',
  leaving: 'The instance was shutting down, and would have ended before the request. With mayHaveRun=true a server had it and had not answered yet; the caller may send it again elsewhere where it may run twice.',
  fault: 'An internal error; the log event request-fault has its stack trace.'
}
