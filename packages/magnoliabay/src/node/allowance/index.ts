/**
 * Teams' allowances, counted over the fleet.
 */
export { createAllowance } from './allowance'
export type { Allowance, Reservation } from './allowance'
