/** Columns of text for a terminal. */

const GAP = '  '
const NUMBER = /^-?[\d.]+%?$/

/** Columns whose cells are all numbers stand to the right. */
export function formatTable (head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)))
  const isNumeric = head.map((_, column) => rows.length > 0 && rows.every(row => row[column] === '-' || NUMBER.test(row[column] ?? '')))
  const format = (row: readonly string[]): string => row
    .map((cell, column) => isNumeric[column] ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!))
    .join(GAP)
    .trimEnd()
  return [head, ...rows].map(format).join('\n')
}
