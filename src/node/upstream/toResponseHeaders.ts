import { hopByHopHeaders } from './hopByHopHeaders.js'

/** Headers of an answer without hop-by-hop headers; repeated headers are joined by a comma. */
export function toResponseHeaders (raw: Record<string, string | string[] | undefined>): Record<string, string> {
  const listed = new Set(joined(raw.connection).split(',').map((option) => option.trim().toLowerCase()))
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(raw)) {
    const key = name.toLowerCase()
    if (value !== undefined && !hopByHopHeaders.has(key) && !listed.has(key)) {
      headers[key] = joined(value)
    }
  }
  return headers
}

function joined (value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(', ') : value ?? ''
}
