import { setTimeout as sleep } from 'node:timers/promises'
import type { DemoCounters } from './DemoCounters.js'

const MAX_ATTEMPTS = 20
const RETRY_DELAY_MS = 200
const ATTEMPT_TIMEOUT_MS = 10_000

/** Sends requests through the load balancer and retries each until it gets a complete, correct response. */
export class DemoCaller {
  constructor (
    private readonly _balancerAddress: string,
    private readonly _token: string,
    private readonly _counters: DemoCounters
  ) {}

  /** Looks up an order; the response must contain the requested id. */
  async lookup (service: string, id: string): Promise<void> {
    await this._sendWithRetries(`lookup ${id}`, 'GET', `/v1/services/${service}/orders/${id}`, undefined, {}, text => JSON.parse(text).id === id)
  }

  /** Sends a ticket, which must run exactly once even if it is sent several times. */
  async ticket (service: string, key: string): Promise<void> {
    const headers = { 'idempotency-key': key }
    const isCorrect = (text: string): boolean => JSON.parse(text).run === 1
    await this._sendWithRetries(`ticket ${key}`, 'POST', `/v1/services/${service}/tickets`, JSON.stringify({ batch: key }), headers, isCorrect)
  }

  /** Streams a generation; the stream must end with its end marker. */
  async stream (model: string, prompt: string, maxTokens: number): Promise<void> {
    const body = JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true })
    await this._sendWithRetries(`stream ${prompt}`, 'POST', '/v1/completions', body, {}, text => text.trimEnd().endsWith('data: [DONE]'))
  }

  private async _sendWithRetries (name: string, method: string, path: string, body: string | undefined, headers: Record<string, string>, isCorrect: (text: string) => boolean): Promise<void> {
    this._counters.requests++
    let lastResult = ''
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        const response = await fetch(`http://${this._balancerAddress}${path}`, {
          method,
          headers: { authorization: `Bearer ${this._token}`, 'content-type': 'application/json', ...headers },
          signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
          ...(body === undefined ? {} : { body })
        })
        lastResult = `${response.status} ${await response.text()}`
        if (response.ok && isCorrect(lastResult.slice(4))) {
          this._counters.answered++
          return
        }
      } catch (error) {
        lastResult = String(error)
      }
      await sleep(RETRY_DELAY_MS)
    }
    this._counters.lost++
    console.error(`${name} got no correct response after ${MAX_ATTEMPTS} attempts: ${lastResult}`)
  }
}
