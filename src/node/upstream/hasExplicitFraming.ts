/**
 * Returns true when the body is delimited by Content-Length or chunked transfer coding, or when there is no body.
 * A close-delimited body cannot be distinguished from a truncated one.
 */
export function hasExplicitFraming (method: string, status: number, headers: Record<string, string | string[] | undefined>): boolean {
  if (method === 'HEAD' || status === 204 || status === 304) {
    return true
  }
  const transferCodings = String(headers['transfer-encoding'] ?? '').toLowerCase()
  return headers['content-length'] !== undefined || transferCodings.split(',').at(-1)?.trim() === 'chunked'
}
