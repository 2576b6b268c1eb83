import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'
import type { CallResponse } from './CallResponse.js'
import type { EntryProcess } from './EntryProcess.js'
import type { StandIn } from './StandIn.js'
import { bearerTokens } from './bearerTokens.js'

// Ends a call that would otherwise wait forever.
const TIMEOUT_MS = 60_000

interface Call { path?: string, key?: string, body?: string, deadlineMs?: number, token?: string, method?: string }
interface Run { key: string, request_id: string, path: string }

/**
 * Makes calls to a service through entries, records the responses and compares them with the ledgers of
 * the upstreams that ran the calls. Calls are matched by request id, which the entry forwards.
 */
export class CallRecorder {
  readonly calls: Array<{ id: string, key: string, path: string, response: CallResponse }> = []
  /** Opens a connection per call: with keep-alive, a call could fail because it raced with the close of an idle connection. */
  private readonly _agent = new Agent({ pipelining: 0, connections: null })

  constructor (private readonly _service: string) {}

  /** Sends a ticket if a key is given, else a lookup. Never rejects: a failed connection is reported as status 0. */
  async call (target: EntryProcess | string, call: Call): Promise<CallResponse> {
    const id = randomUUID()
    const path = call.path ?? '/tickets'
    const address = typeof target === 'string' ? target : target.listen
    const headers: Record<string, string> = { authorization: `Bearer ${call.token ?? bearerTokens['lin-shun']}`, 'x-request-id': id }
    if (call.key !== undefined) headers['idempotency-key'] = call.key
    if (call.deadlineMs !== undefined) headers['x-deadline-ms'] = String(call.deadlineMs)
    const isTicket = call.key !== undefined
    const response = await this._send(`http://${address}/v1/services/${this._service}${path}`, {
      method: call.method ?? (isTicket ? 'POST' : 'GET'),
      headers,
      ...isTicket && { body: call.body ?? `hood ${call.key}` }
    })
    this.calls.push({ id, key: call.key ?? '', path, response })
    return response
  }

  /** Fetches the runs in the ledgers of the given upstreams. */
  async fetchRuns (upstreams: Iterable<StandIn>): Promise<Run[]> {
    const ledgers = await Promise.all([...upstreams].map(async upstream => (await upstream.get('/ledger')).calls as Run[]))
    return ledgers.flat()
  }

  /**
   * Compares the recorded responses with the ledgers of the given upstreams. Returns a message for each contradiction
   * and for each key that ran more than once.
   */
  async findViolations (upstreams: Iterable<StandIn>): Promise<string[]> {
    const runs = await this.fetchRuns(upstreams)
    const requestIds = new Set(runs.map(run => run.request_id.split('.')[0]))
    const runsByKey = new Map<string, number>()
    for (const { key } of runs) if (key !== '') runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1)
    const violations = [...runsByKey].filter(([, count]) => count > 1).map(([key, count]) => `key ${key} ran ${count} times`)
    for (const { id, key, path, response } of this.calls) {
      const name = `${key === '' ? path.slice(0, 60) : key} (${response.status} ${response.kind ?? ''})`
      const hasKeyRun = runsByKey.has(key)
      if (response.outcome === 'not_run' && requestIds.has(id)) violations.push(`${name} was reported as not_run but ran`)
      if (response.status === 200 && key === '' && `/orders/${response.body?.id}` !== path) violations.push(`${name} got ${JSON.stringify(response.body)}`)
      if (response.status === 200 && !(key === '' ? requestIds.has(id) : hasKeyRun)) violations.push(`${name} was answered but is in no ledger`)
    }
    return violations
  }

  /**
   * Counts the calls by HTTP status, or by error kind and outcome if the entry reported an error, for example
   * `{ '200': 5, 'reset/unknown': 1 }`.
   */
  countOutcomes (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { response } of this.calls) {
      const name = response.outcome === undefined ? String(response.status) : `${response.kind}/${response.outcome}`
      counts[name] = (counts[name] ?? 0) + 1
    }
    return counts
  }

  private async _send (url: string, options: { method: string, headers: Record<string, string>, body?: string }): Promise<CallResponse> {
    try {
      const response = await request(url, { ...options, method: options.method as 'GET', dispatcher: this._agent, signal: AbortSignal.timeout(TIMEOUT_MS) })
      const text = await response.body.text()
      const body = parseJsonOrText(text)
      const { kind, outcome } = body?.error ?? {}
      return { status: response.statusCode, body, ...outcome !== undefined && { kind, outcome } }
    } catch (error) {
      return { status: 0, body: String(error) }
    }
  }
}

function parseJsonOrText (text: string): any {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
