/** Formats tables of text for a terminal. */

const COLUMN_GAP = '  '
const NUMBER_PATTERN = /^-?[\d.]+%?$/

/** Formats a table; columns whose cells are all numbers are aligned to the right. */
export function formatTable (head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)))
  const isNumeric = head.map((_, column) => rows.length > 0 && rows.every(row => row[column] === '-' || NUMBER_PATTERN.test(row[column] ?? '')))
  const format = (row: readonly string[]): string => row
    .map((cell, column) => isNumeric[column] ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!))
    .join(COLUMN_GAP)
    .trimEnd()
  return [head, ...rows].map(format).join('\n')
}
