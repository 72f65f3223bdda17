/** Classes of work, which callers select by a header. */

/** `interactive`: a user waits for each answer. `patient`: may wait, but is not starved. */
export type WorkClass = 'interactive' | 'patient'

export const WORK_CLASS_HEADER = 'x-class'

export const WORK_CLASSES: readonly WorkClass[] = ['interactive', 'patient']

/** Weights by which tokens are divided while both classes wait. */
export const CLASS_WEIGHTS: Readonly<Record<WorkClass, number>> = { interactive: 4, patient: 1 }

/** Priorities sent to the engines; 0 is the highest. */
export const ENGINE_PRIORITY_BY_CLASS: Readonly<Record<WorkClass, number>> = { interactive: 1, patient: 2 }

/** Returns the class that the header names; any other value counts as interactive. */
export function parseWorkClass (header: string | string[] | undefined): WorkClass {
  return header === 'patient' ? 'patient' : 'interactive'
}
