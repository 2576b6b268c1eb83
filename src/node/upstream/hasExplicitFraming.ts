/**
 * True when the end of the body is marked by Content-Length or chunked framing, or when there is
 * no body. A body that ends with the connection cannot be told from a truncated one.
 */
export function hasExplicitFraming (method: string, status: number, headers: Record<string, string | string[] | undefined>): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) {
    return true
  }
  const codings = String(headers['transfer-encoding'] ?? '').toLowerCase()
  return headers['content-length'] !== undefined || codings.split(',').at(-1)?.trim() === 'chunked'
}
