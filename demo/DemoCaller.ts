import { setTimeout as sleep } from 'node:timers/promises'
import type { DemoCounters } from './DemoCounters.js'

const ATTEMPTS = 20
const RETRY_MS = 200
const ATTEMPT_TIMEOUT_MS = 10_000

/** A caller that repeats a request through the load balancer until it has a whole, correct answer. */
export class DemoCaller {
  constructor (
    private readonly _front: string,
    private readonly _token: string,
    private readonly _tally: DemoCounters
  ) {}

  /** Looks an order up; the answer must carry the id asked for. */
  async lookup (service: string, id: string): Promise<void> {
    await this._ask(`lookup ${id}`, 'GET', `/v1/services/${service}/orders/${id}`, undefined, {}, text => JSON.parse(text).id === id)
  }

  /** Sends a ticket that must run once however often it is sent. */
  async ticket (service: string, key: string): Promise<void> {
    const headers = { 'idempotency-key': key }
    const check = (text: string): boolean => JSON.parse(text).run === 1
    await this._ask(`ticket ${key}`, 'POST', `/v1/services/${service}/tickets`, JSON.stringify({ batch: key }), headers, check)
  }

  /** Streams a generation, which must end with its final mark. */
  async stream (model: string, prompt: string, maxTokens: number): Promise<void> {
    const body = JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true })
    await this._ask(`stream ${prompt}`, 'POST', '/v1/completions', body, {}, text => text.trimEnd().endsWith('data: [DONE]'))
  }

  private async _ask (name: string, method: string, path: string, body: string | undefined, headers: Record<string, string>, check: (text: string) => boolean): Promise<void> {
    this._tally.requests++
    let last = ''
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      try {
        const response = await fetch(`http://${this._front}${path}`, {
          method,
          headers: { authorization: `Bearer ${this._token}`, 'content-type': 'application/json', ...headers },
          signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
          ...(body === undefined ? {} : { body })
        })
        last = `${response.status} ${await response.text()}`
        if (response.ok && check(last.slice(4))) {
          this._tally.answered++
          return
        }
      } catch (error) {
        last = String(error)
      }
      await sleep(RETRY_MS)
    }
    this._tally.lost++
    console.error(`${name} has no correct answer after ${ATTEMPTS} attempts: ${last}`)
  }
}
