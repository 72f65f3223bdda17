/** Classes of work, as callers name them in a header. */

/** `interactive`: somebody waits for each answer. `patient`: may wait, but is not to be starved. */
export type WorkClass = 'interactive' | 'patient'

export const WORK_CLASS_HEADER = 'x-class'

export const WORK_CLASSES: readonly WorkClass[] = ['interactive', 'patient']

/** Shares of the tokens while both classes wait. */
export const CLASS_WEIGHTS: Readonly<Record<WorkClass, number>> = { interactive: 4, patient: 1 }

/** Priorities at the engines, 0 first. */
export const ENGINE_PRIORITY_BY_CLASS: Readonly<Record<WorkClass, number>> = { interactive: 1, patient: 2 }

/** The class that a header names; anything else counts as interactive. */
export function parseWorkClass (header: string | string[] | undefined): WorkClass {
  return header === 'patient' ? 'patient' : 'interactive'
}
