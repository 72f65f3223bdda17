/** What each reason for an end without an answer means, for those who look into it afterwards. */
import type { EndReason } from './refusal'

export const REFUSAL_REASON_DESCRIPTIONS: Readonly<Record<EndReason, string>> = {
  'no-config': 'The instance knew no configuration yet: it had just started, and neither the store nor a peer had told it one.',
  'no-route': 'No route of the configuration in force matches host and path. Compare the version with the one that has the route.',
  'unknown-key': 'No team of the configuration in force holds the key, or none was sent. Compare the version with the one that has the key.',
  'over-allowance': 'The team had spent its rate and burst within the window. decidedBy=share: the instance could not reach the team\'s home and had only its own part.',
  'no-server': 'No server of the service was usable: none listed, all leaving, none reached, or the model is in no configuration.',
  'model-not-in-time': 'No engine had the model, and it could not be loaded before the caller would have left. retryAfterMs is when it was expected.',
  'no-orderer': 'No engine had the model, and nobody gave orders: a hand-over was under way, or this instance was cut off.',
  'server-full': 'Servers turned the request back, not run, each time that it was sent.',
  'server-cold': 'The servers that could take it had just started, and had got as many requests in the second as they bear.',
  'retry-budget-spent': 'A server turned the request back, not run, and the service had had its share of retries.',
  'crashes-servers': 'Servers died while they ran the same request before. It is not sent any more for a minute.',
  'route-timeout': 'The route\'s timeout or the caller\'s deadline was reached.',
  'server-failed': 'The server broke off, or answered what cannot be passed on, and the request may not be run again.',
  'answer-cut': 'The server broke off in the middle of an answer of which the caller had a part.',
  'caller-gone': 'The caller closed its connection.',
  leaving: 'The instance had been asked to stop, and the request would have outlasted it.',
  fault: 'A fault of this program; the line request-fault has its trace.'
}
