import { groupsResponseSchema } from './groupsResponseSchema.js'
import type { TrainerOptions } from './TrainerOptions.js'

const REQUEST_TIMEOUT_MS = 30_000

/** HTTP client of a trainer for the rollout service. Uses one address until an error occurs, then the next one. */
export class RolloutClient {
  private _addressIndex = 0
  errorCount = 0
  lastError = ''

  constructor (private readonly _options: TrainerOptions) {}

  get address (): string {
    return this._options.addresses[this._addressIndex % this._options.addresses.length]!
  }

  /** Makes one POST attempt; true if it was accepted. */
  async post (path: string, body: unknown): Promise<boolean> {
    return await this._attempt(async () => {
      const init = { method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
      await (await this._fetch(path, init, AbortSignal.timeout(REQUEST_TIMEOUT_MS))).text()
      return true
    }) ?? false
  }

  /** Makes one attempt to read groups; undefined unless a complete response arrived before the signal was aborted. */
  async read (cursor: number, version: number, signal: AbortSignal) {
    const { maxGroupsPerRead, waitMs } = this._options
    const query = `cursor=${cursor}&version=${version}&max=${maxGroupsPerRead}&wait_ms=${waitMs}`
    const combinedSignal = AbortSignal.any([signal, AbortSignal.timeout(waitMs + REQUEST_TIMEOUT_MS)])
    return await this._attempt(async () => {
      const response = groupsResponseSchema.parse(await (await this._fetch(`/groups?${query}`, {}, combinedSignal)).json())
      return signal.aborted ? undefined : response
    }, signal)
  }

  private async _fetch (path: string, init: RequestInit, signal: AbortSignal): Promise<Response> {
    const url = `http://${this.address}/v1/trainers/${this._options.trainer}${path}`
    const headers = { ...init.headers, authorization: `Bearer ${this._options.token}` }
    const response = await fetch(url, { ...init, headers, signal })
    if (!response.ok) throw new Error(`${init.method ?? 'GET'} ${path}: ${response.status} ${await response.text()}`)
    return response
  }

  private async _attempt<T> (call: () => Promise<T>, signal?: AbortSignal): Promise<T | undefined> {
    try {
      return await call()
    } catch (error) {
      if (signal?.aborted === true) return undefined
      this.errorCount++
      this.lastError = `${this.address}: ${String(error)}`
      this._addressIndex++
      return undefined
    }
  }
}
