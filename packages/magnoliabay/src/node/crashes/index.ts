/** Which prompt parts and requests crash servers, and are refused; shared by both front doors. */
export { createCrashAttribution } from './crashAttribution'
export type { Accusation, CrashAttribution, CutRequest } from './crashAttribution'
export { createCrashConfirmation } from './confirmation'
export { createIncarnationCheck } from './incarnationCheck'
export { createRequestGuard } from './requestGuard'
export type { RequestGuard } from './requestGuard'
export { fingerprintOf, suspectsOf } from './suspects'
export type { RequestSuspects, Suspect } from './suspects'
