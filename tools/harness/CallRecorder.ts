import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'
import type { CallResponse } from './CallResponse.js'
import type { EntryProcess } from './EntryProcess.js'
import type { StandIn } from './StandIn.js'
import { bearerTokens } from './bearerTokens.js'

// Only ends a call that would wait forever.
const TIMEOUT_MS = 60_000

interface Call { path?: string, key?: string, body?: string, deadlineMs?: number, token?: string, method?: string }
interface Run { key: string, request_id: string, path: string }

/**
 * Makes calls on new connections, keeps their answers and compares them with the ledgers of the
 * services that ran them: a call by its request id, which the entry passes on.
 */
export class CallRecorder {
  readonly calls: Array<{ id: string, key: string, path: string, response: CallResponse }> = []
  /** Without keep-alive, so that a lost call is never a race with the close of an idle connection. */
  private readonly _agent = new Agent({ pipelining: 0, connections: null })

  constructor (private readonly _service: string) {}

  /** A lookup, or a ticket when a key is given. */
  async call (target: EntryProcess | string, call: Call): Promise<CallResponse> {
    const id = randomUUID()
    const path = call.path ?? '/tickets'
    const address = typeof target === 'string' ? target : target.listen
    const headers: Record<string, string> = { authorization: `Bearer ${call.token ?? bearerTokens['lin-shun']}`, 'x-request-id': id }
    if (call.key !== undefined) headers['idempotency-key'] = call.key
    if (call.deadlineMs !== undefined) headers['x-deadline-ms'] = String(call.deadlineMs)
    const isTicket = call.key !== undefined
    const answer = await this._send(`http://${address}/v1/services/${this._service}${path}`, {
      method: call.method ?? (isTicket ? 'POST' : 'GET'),
      headers,
      ...isTicket && { body: call.body ?? `hood ${call.key}` }
    })
    this.calls.push({ id, key: call.key ?? '', path, response: answer })
    return answer
  }

  /** Runs in the ledgers of the given services. */
  async fetchRuns (services: Iterable<StandIn>): Promise<Run[]> {
    const ledgers = await Promise.all([...services].map(async service => (await service.get('/ledger')).calls as Run[]))
    return ledgers.flat()
  }

  /** Differences between the answers and the ledgers; none when every answer was true. */
  async findViolations (services: Iterable<StandIn>): Promise<string[]> {
    const runs = await this.fetchRuns(services)
    const byRequest = new Set(runs.map(run => run.request_id.split('.')[0]))
    const counts = new Map<string, number>()
    for (const { key } of runs) if (key !== '') counts.set(key, (counts.get(key) ?? 0) + 1)
    const faults = [...counts].filter(([, count]) => count > 1).map(([key, count]) => `key ${key} ran ${count} times`)
    for (const { id, key, path, response: answer } of this.calls) {
      const name = `${key === '' ? path.slice(0, 60) : key} (${answer.status} ${answer.kind ?? ''})`
      const isKeyRun = counts.has(key)
      if (answer.outcome === 'not_run' && byRequest.has(id)) faults.push(`${name} was refused as not_run and ran`)
      if (answer.status === 200 && key === '' && `/orders/${answer.body?.id}` !== path) faults.push(`${name} got ${JSON.stringify(answer.body)}`)
      if (answer.status === 200 && !(key === '' ? byRequest.has(id) : isKeyRun)) faults.push(`${name} was answered without a run`)
    }
    return faults
  }

  /** How many calls ended with each outcome, for example `{ '200': 5, 'reset/unknown': 1 }`. */
  countOutcomes (): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { response: answer } of this.calls) {
      const name = answer.outcome === undefined ? String(answer.status) : `${answer.kind}/${answer.outcome}`
      counts[name] = (counts[name] ?? 0) + 1
    }
    return counts
  }

  private async _send (url: string, options: { method: string, headers: Record<string, string>, body?: string }): Promise<CallResponse> {
    try {
      const response = await request(url, { ...options, method: options.method as 'GET', dispatcher: this._agent, signal: AbortSignal.timeout(TIMEOUT_MS) })
      const text = await response.body.text()
      const body = parse(text)
      const { kind, outcome } = body?.error ?? {}
      return { status: response.statusCode, body, ...outcome !== undefined && { kind, outcome } }
    } catch (error) {
      return { status: 0, body: String(error) }
    }
  }
}

function parse (text: string): any {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}
