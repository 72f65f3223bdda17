/** Text as it may stand in a page, in attributes too. */
const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

export function escapeHtml (text: string): string {
  return text.replace(/[&<>"]/g, character => ESCAPES[character]!)
}
