const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

/** Escapes text for HTML content and attributes. */
export function escapeHtml (text: string): string {
  return text.replace(/[&<>"]/g, character => ESCAPES[character]!)
}
