/** Whose an answer of a backend server is, and what a promise rests on that a request has not run. */
export { attributeAnswer } from './attribution'
export type { AnswerAttribution, ArrivedAnswer } from './attribution'
export { UNSENT, formatEvidence } from './evidence'
export type { Disclaimer, NotRunEvidence } from './evidence'
