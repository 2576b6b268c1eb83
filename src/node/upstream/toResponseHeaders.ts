import { hopByHopHeaders } from './hopByHopHeaders.js'

/** Returns the headers of a response without hop-by-hop headers, with repeated headers joined by a comma. */
export function toResponseHeaders (rawHeaders: Record<string, string | string[] | undefined>): Record<string, string> {
  const connectionOptions = new Set(joinValues(rawHeaders.connection).split(',').map((option) => option.trim().toLowerCase()))
  const headers: Record<string, string> = {}
  for (const [name, value] of Object.entries(rawHeaders)) {
    const key = name.toLowerCase()
    if (value !== undefined && !hopByHopHeaders.has(key) && !connectionOptions.has(key)) {
      headers[key] = joinValues(value)
    }
  }
  return headers
}

function joinValues (value: string | string[] | undefined): string {
  return Array.isArray(value) ? value.join(', ') : value ?? ''
}
