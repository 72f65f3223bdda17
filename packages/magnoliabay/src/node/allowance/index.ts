/** Teams' allowances, counted over the fleet. */
export { createAllowance } from './allowance'
export type { Allowance, AllowanceOptions, Reservation, TeamHolding } from './allowance'
export { TOTAL_UNITS } from './constants'
