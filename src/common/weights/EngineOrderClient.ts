import type { Result } from 'neverthrow'
import { parseJson } from '../kernel/parseJson.js'
import type { IUpstreamClient } from '../upstream/client/IUpstreamClient.js'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'
import type { EngineState } from './EngineState.js'
import type { WeightTarget } from './WeightTarget.js'
import { engineStateSchema } from './engineStateSchema.js'

const CALL_TIMEOUT_MS = 2000

/** Client of the HTTP interface through which engines report their state and receive orders. */
export class EngineOrderClient {
  constructor (private readonly _client: IUpstreamClient) {}

  /** Reads the engine's state; resolves with undefined on any failure. */
  async readState (address: string, signal: AbortSignal): Promise<EngineState | undefined> {
    const response = await this._call(address, 'GET', '/v1/state', undefined, signal)
    if (response.isErr() || response.value.status !== 200) return undefined
    return engineStateSchema.safeParse(parseJson(response.value.body)).data
  }

  /** Orders an engine to load weights; only `readState` shows whether it has loaded them. */
  async orderVersion (address: string, target: WeightTarget, fence: number, signal: AbortSignal): Promise<'accepted' | 'stale_fence' | 'unknown'> {
    const value = { model: target.model, version: target.version }
    const body = { order_id: crypto.randomUUID(), kind: 'load_version', value, fence }
    const response = await this._call(address, 'POST', '/v1/orders', body, signal)
    if (response.isErr()) return 'unknown'
    if (response.value.status === 409) return 'stale_fence'
    return response.value.status === 202 ? 'accepted' : 'unknown'
  }

  private async _call (address: string, method: string, path: string, body: unknown, signal: AbortSignal): Promise<Result<UpstreamResponse, UpstreamError>> {
    return await this._client.call(address, {
      requestId: crypto.randomUUID(),
      method,
      path,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? undefined : new TextEncoder().encode(JSON.stringify(body)),
      deadlineAtMs: performance.now() + CALL_TIMEOUT_MS
    }, signal)
  }
}
