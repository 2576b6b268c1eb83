import { type Client, request } from 'undici'
import { bearerTokens } from '../../tools/harness/bearerTokens.js'
import type { Call } from '../checker/Call.js'
import { tolerances } from '../checker/tolerances.js'
import { parseCompletionStream } from './parseCompletionStream.js'

/** A call to make, with what its caller expects. */
interface CallPlan extends Pick<Call, 'id' | 'kind' | 'entry' | 'organisation' | 'service' | 'key' | 'expected' | 'deadlineMs'> {
  address: string
  method: 'GET' | 'POST'
  path: string
  body?: string
  /** Time after which the caller aborts the request. */
  abandonAfterMs?: number
}

/** Makes one call and records its result. Uses the persistent connection of `client` if given, otherwise a new connection. */
export async function makeCall (plan: CallPlan, client?: Client): Promise<Call> {
  const { address, method, path, body, abandonAfterMs, ...callFields } = plan
  const call: Call = { ...callFields, startedAtMs: Date.now(), endedAtMs: 0, end: 'cut', status: 0, content: '', ...(client !== undefined && { isKept: true }) }
  const hangSignal = AbortSignal.timeout(plan.deadlineMs + tolerances.hangMarginMs)
  const abandonSignal = abandonAfterMs === undefined ? undefined : AbortSignal.timeout(abandonAfterMs)
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      ...(client === undefined ? { reset: true } : { dispatcher: client }),
      headersTimeout: 0,
      bodyTimeout: 0,
      signal: AbortSignal.any(abandonSignal === undefined ? [hangSignal] : [hangSignal, abandonSignal]),
      headers: createHeaders(plan),
      body: body ?? null
    })
    call.status = response.statusCode
    const text = await response.body.text()
    Object.assign(call, response.statusCode === 200 ? parseResponse(call.kind, text) : parseErrorResponse(text))
  } catch (error) {
    const { code, message } = error as { code?: string, message: string }
    call.content = `${code ?? ''} ${message}`
    if (abandonSignal?.aborted === true) call.end = 'abandoned'
    else if (hangSignal.aborted) call.end = 'hang'
    else if (code === 'ECONNREFUSED') call.end = 'connect_failed'
  }
  call.endedAtMs = Date.now()
  return call
}

function createHeaders (plan: CallPlan): Record<string, string> {
  return {
    authorization: `Bearer ${bearerTokens[plan.organisation as 'lin-shun' | 'almaskert']}`,
    'x-request-id': plan.id,
    'x-deadline-ms': String(plan.deadlineMs),
    ...(plan.body === undefined ? {} : { 'content-type': 'application/json' }),
    ...(plan.key === undefined ? {} : { 'idempotency-key': plan.key })
  }
}

function parseResponse (kind: Call['kind'], text: string): Partial<Call> {
  if (kind === 'stream') return parseCompletionStream(text)
  try {
    const { id, ticket } = JSON.parse(text)
    return { end: 'answered', content: kind === 'lookup' ? String(id) : String(ticket) }
  } catch {
    return { end: 'answered', content: text }
  }
}

function parseErrorResponse (text: string): Partial<Call> {
  try {
    const { error } = JSON.parse(text)
    return { end: 'refused', outcome: error?.outcome, content: text }
  } catch {
    return { end: 'refused', content: text }
  }
}
