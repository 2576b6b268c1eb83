const TIMEOUT_MS = 30_000

/** Sends a request with an optional JSON body and returns the JSON answer; throws unless it is 2xx. */
export async function fetchJson (method: string, address: string, path: string, body?: unknown, token?: string): Promise<any> {
  const headers: Record<string, string> = {}
  if (body !== undefined) headers['content-type'] = 'application/json'
  if (token !== undefined) headers['authorization'] = `Bearer ${token}`
  const init: RequestInit = { method, headers, signal: AbortSignal.timeout(TIMEOUT_MS) }
  if (body !== undefined) init.body = JSON.stringify(body)
  const response = await fetch(`http://${address}${path}`, init)
  const text = await response.text()
  if (!response.ok) throw new Error(`${method} ${path}: ${response.status} ${text}`)
  return text === '' ? undefined : JSON.parse(text)
}
