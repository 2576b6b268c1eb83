import { type Agent, request } from 'undici'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import type { Arrival } from './Arrival.js'
import type { RequestOutcome } from './RequestOutcome.js'

// Longer than every deadline of the measurement's contracts.
const TIMEOUT_MS = 30_000
const END_MARK = 'data: [DONE]'

/** Sends one request; latency counts from `scheduledAtMs` (`performance.now()`), a late start included. */
export async function sendArrival (agent: Agent, address: string, arrival: Arrival, scheduledAtMs: number, isReset: boolean): Promise<RequestOutcome> {
  const outcome: RequestOutcome = { label: arrival.label, isOk: false, status: 0, latencyMs: 0, firstByteMs: Infinity }
  try {
    const response = await request(`http://${address}${arrival.path}`, {
      dispatcher: agent,
      method: arrival.method,
      headers: { ...arrival.headers, authorization: `Bearer ${bearerTokens[arrival.organisation]}` },
      body: arrival.body,
      reset: isReset,
      signal: AbortSignal.timeout(TIMEOUT_MS)
    })
    outcome.status = response.statusCode
    let tail = ''
    for await (const chunk of response.body) {
      outcome.firstByteMs = Math.min(outcome.firstByteMs, performance.now() - scheduledAtMs)
      tail = (tail + String(chunk)).slice(-2 * END_MARK.length)
    }
    outcome.isOk = response.statusCode === 200 && (arrival.isStream !== true || tail.includes(END_MARK))
  } catch {
    // Counted as failed by `isOk`.
  }
  outcome.latencyMs = performance.now() - scheduledAtMs
  return outcome
}
