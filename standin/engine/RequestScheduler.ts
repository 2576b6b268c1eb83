import { consumeFault } from '../common/consumeFault.js'
import type { EngineFaults } from './EngineFaults.js'
import type { EngineOptions } from './EngineOptions.js'
import type { EngineRequest } from './EngineRequest.js'
import type { ModelVersions } from './ModelVersions.js'
import type { PrefixCache } from './PrefixCache.js'

const TICK_MS = 10
// Caps the time that one tick accounts for, so that a paused process does not catch up in one burst of tokens.
const MAX_TICK_MS = 200
const CRASH_MARKER = 'crash-engine'
const CRASH_EXIT_CODE = 1

/** Schedules requests by continuous batching: up to `capacity` run at once, the rest wait in arrival order. */
export class RequestScheduler {
  readonly running = new Set<EngineRequest>()
  readonly waiting: EngineRequest[] = []
  /** `performance.now()` until which generation is paused for a swap of weights. */
  pausedUntilMs = 0
  private _lastTickMs = performance.now()

  constructor (
    private readonly _options: EngineOptions,
    private readonly _bootId: string,
    private readonly _models: ModelVersions,
    private readonly _cache: PrefixCache,
    private readonly _faults: () => EngineFaults
  ) {
    setInterval(() => this._tick(), TICK_MS).unref()
  }

  enqueue (request: EngineRequest): void {
    this.waiting.push(request)
  }

  /** Removes a request and resets its connection; false if it is neither waiting nor running. */
  cancel (request: EngineRequest): boolean {
    const index = this.waiting.indexOf(request)
    if (index < 0 && !this.running.has(request)) return false
    if (index >= 0) this.waiting.splice(index, 1)
    this._recordOutcome(request, 'cancelled')
    request.sink?.reset()
    return true
  }

  private _tick (): void {
    const nowMs = performance.now()
    const seconds = Math.min(nowMs - this._lastTickMs, MAX_TICK_MS) / 1000 / this._faults().slow_factor
    this._lastTickMs = nowMs
    if (this._faults().freeze || nowMs < this.pausedUntilMs) return
    while (this.running.size < this._options.capacity && this.waiting.length > 0) this._admit(this.waiting.shift()!)
    for (const request of this.running) this._advance(request, seconds)
  }

  private _admit (request: EngineRequest): void {
    if (request.prompt.includes(CRASH_MARKER)) process.exit(CRASH_EXIT_CODE)
    request.start(this._models.actualVersion(request.model), this._cache)
    if (consumeFault(this._faults(), 'truncate_streams')) {
      request.truncateAtTokens = request.tokenIds.length + Math.floor((request.totalTokens - request.tokenIds.length) / 2)
    }
    this.running.add(request)
  }

  private _advance (request: EngineRequest, seconds: number): void {
    if (!request.prefill(seconds * this._options.prefillTokensPerSecond)) return
    if (request.markPrefilled()) this._cache.store(request.model, request.prompt, request.kvVersion)
    const version = this._models.actualVersion(request.model)
    const newTokenIds = request.generate(seconds * this._options.tokensPerSecond, version)
    const isComplete = request.tokenIds.length >= request.totalTokens
    if (newTokenIds.length === 0 && !isComplete) return
    // Later tokens attend to these ones, so the KV version never rises, even if the weights change back and forth.
    request.kvVersion = Math.min(request.kvVersion, version)
    const stamp = { version, kv_version: request.kvVersion, boot_id: this._bootId }
    const finishReason = isComplete ? request.finishReason : null
    const isTruncated = request.tokenIds.length >= request.truncateAtTokens
    request.sink?.send(newTokenIds, isTruncated ? null : finishReason, this._faults().unstamped ? undefined : stamp)
    if (isTruncated) return this._finish(request, 'truncated', () => request.sink?.truncate())
    const dropAfterTokens = this._faults().drop_after_tokens
    if (dropAfterTokens > 0 && request.tokenIds.length - request.resumedTokens >= dropAfterTokens) {
      return this._finish(request, 'dropped', () => request.sink?.reset())
    }
    if (isComplete) this._finish(request, 'completed', () => request.sink?.complete())
  }

  private _finish (request: EngineRequest, outcome: string, close: () => void): void {
    this._recordOutcome(request, outcome)
    close()
  }

  private _recordOutcome (request: EngineRequest, outcome: string): void {
    this.running.delete(request)
    request.outcome = outcome
    request.finishedAtMs = Date.now()
  }
}
