import { type Agent, request } from 'undici'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import type { Arrival } from './Arrival.js'
import type { RequestOutcome } from './RequestOutcome.js'

// Longer than every deadline in the contracts of the benchmark.
const TIMEOUT_MS = 30_000
const END_MARKER = 'data: [DONE]'

/**
 * Sends one request. Latency counts from `scheduledAtMs` (on the clock of `performance.now()`), so it includes a delay
 * of the start. Never rejects.
 */
export async function sendArrival (agent: Agent, address: string, arrival: Arrival, scheduledAtMs: number, closesConnection: boolean): Promise<RequestOutcome> {
  const outcome: RequestOutcome = { label: arrival.label, isOk: false, status: 0, latencyMs: 0, firstByteMs: Infinity }
  try {
    const response = await request(`http://${address}${arrival.path}`, {
      dispatcher: agent,
      method: arrival.method,
      headers: { ...arrival.headers, authorization: `Bearer ${bearerTokens[arrival.organisation]}` },
      body: arrival.body,
      reset: closesConnection,
      signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    outcome.status = response.statusCode
    let tail = ''
    for await (const chunk of response.body) {
      outcome.firstByteMs = Math.min(outcome.firstByteMs, performance.now() - scheduledAtMs)
      tail = (tail + String(chunk)).slice(-2 * END_MARKER.length)
    }
    outcome.isOk = response.statusCode === 200 && (arrival.isStream !== true || tail.includes(END_MARKER))
  } catch {
    // `isOk` stays false, which counts the request as failed.
  }
  outcome.latencyMs = performance.now() - scheduledAtMs
  return outcome
}
