import { type Client, request } from 'undici'
import { tokens } from '../../tools/harness/tokens.js'
import type { Call } from '../checker/Call.js'
import { tolerances } from '../checker/tolerances.js'
import { readStream } from './readStream.js'

/** A call that is to be made. */
interface Plan extends Pick<Call, 'id' | 'kind' | 'entry' | 'organisation' | 'service' | 'key' | 'expected' | 'deadlineMs'> {
  address: string
  method: 'GET' | 'POST'
  path: string
  body?: string
  /** The caller leaves after this time. */
  abandonAfterMs?: number
}

/** Makes one call on the client's kept connection, or on one of its own, and records what came back. */
export async function makeCall (plan: Plan, client?: Client): Promise<Call> {
  const { address, method, path, body, abandonAfterMs, ...known } = plan
  const call: Call = { ...known, startedAtMs: Date.now(), endedAtMs: 0, end: 'cut', status: 0, content: '', ...(client !== undefined && { isKept: true }) }
  const limit = AbortSignal.timeout(plan.deadlineMs + tolerances.hangMarginMs)
  const abandon = abandonAfterMs === undefined ? undefined : AbortSignal.timeout(abandonAfterMs)
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      ...(client === undefined ? { reset: true } : { dispatcher: client }),
      headersTimeout: 0,
      bodyTimeout: 0,
      signal: AbortSignal.any(abandon === undefined ? [limit] : [limit, abandon]),
      headers: headersOf(plan),
      body: body ?? null
    })
    call.status = response.statusCode
    const text = await response.body.text()
    Object.assign(call, response.statusCode === 200 ? parseAnswer(call.kind, text) : parseRefusal(text))
  } catch (error) {
    const { code, message } = error as { code?: string, message: string }
    call.content = `${code ?? ''} ${message}`
    if (abandon?.aborted === true) call.end = 'abandoned'
    else if (limit.aborted) call.end = 'hang'
    else if (code === 'ECONNREFUSED') call.end = 'connect_failed'
  }
  call.endedAtMs = Date.now()
  return call
}

function headersOf (plan: Plan): Record<string, string> {
  return {
    authorization: `Bearer ${tokens[plan.organisation as 'lin-shun' | 'almaskert']}`,
    'x-request-id': plan.id,
    'x-deadline-ms': String(plan.deadlineMs),
    ...(plan.body === undefined ? {} : { 'content-type': 'application/json' }),
    ...(plan.key === undefined ? {} : { 'idempotency-key': plan.key })
  }
}

function parseAnswer (kind: Call['kind'], text: string): Partial<Call> {
  if (kind === 'stream') return readStream(text)
  try {
    const { id, ticket } = JSON.parse(text)
    return { end: 'answered', content: kind === 'lookup' ? String(id) : String(ticket) }
  } catch {
    return { end: 'answered', content: text }
  }
}

function parseRefusal (text: string): Partial<Call> {
  try {
    const { error } = JSON.parse(text)
    return { end: 'refused', outcome: error?.outcome, content: text }
  } catch {
    return { end: 'refused', content: text }
  }
}
