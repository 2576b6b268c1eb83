import { takeOne } from '../common/takeOne.js'
import type { EngineFaults } from './EngineFaults.js'
import type { EngineOptions } from './EngineOptions.js'
import type { EngineRequest } from './EngineRequest.js'
import type { ModelTable } from './ModelTable.js'
import type { PrefixCache } from './PrefixCache.js'

const TICK_MS = 10
// After a pause of the process, time that has passed is not made up for in one burst of tokens.
const MAX_TICK_MS = 200
const CRASH_MARK = 'crash-engine'
const CRASH_EXIT_CODE = 1

/** Continuous batching: up to `capacity` requests run at once, the rest wait in arrival order. */
export class Batcher {
  readonly running = new Set<EngineRequest>()
  readonly waiting: EngineRequest[] = []
  /** No tokens are produced before this `performance.now()`, because weights are being swapped. */
  pausedUntilMs = 0
  private _tickedAtMs = performance.now()

  constructor (
    private readonly _options: EngineOptions,
    private readonly _bootId: string,
    private readonly _models: ModelTable,
    private readonly _cache: PrefixCache,
    private readonly _faults: () => EngineFaults
  ) {
    setInterval(() => this._tick(), TICK_MS).unref()
  }

  add (request: EngineRequest): void {
    this.waiting.push(request)
  }

  /** Removes a request and resets its connection; false when it does not wait or run. */
  cancel (request: EngineRequest): boolean {
    const index = this.waiting.indexOf(request)
    if (index < 0 && !this.running.has(request)) return false
    if (index >= 0) this.waiting.splice(index, 1)
    this._finish(request, 'cancelled')
    request.sink?.reset()
    return true
  }

  private _tick (): void {
    const nowMs = performance.now()
    const seconds = Math.min(nowMs - this._tickedAtMs, MAX_TICK_MS) / 1000 / this._faults().slow_factor
    this._tickedAtMs = nowMs
    if (this._faults().freeze || nowMs < this.pausedUntilMs) return
    while (this.running.size < this._options.capacity && this.waiting.length > 0) this._admit(this.waiting.shift()!)
    for (const request of this.running) this._advance(request, seconds)
  }

  private _admit (request: EngineRequest): void {
    if (request.prompt.includes(CRASH_MARK)) process.exit(CRASH_EXIT_CODE)
    request.start(this._models.version(request.model), this._cache)
    if (takeOne(this._faults(), 'truncate_streams')) {
      request.truncateAt = request.tokenIds.length + Math.floor((request.total - request.tokenIds.length) / 2)
    }
    this.running.add(request)
  }

  private _advance (request: EngineRequest, seconds: number): void {
    if (!request.prefill(seconds * this._options.prefillTokensPerSecond)) return
    if (request.takePrefilled()) this._cache.store(request.model, request.prompt, request.kvVersion)
    const version = this._models.version(request.model)
    const added = request.produce(seconds * this._options.tokensPerSecond, version)
    const isWhole = request.tokenIds.length >= request.total
    if (added.length === 0 && !isWhole) return
    // Later tokens attend to these ones, so an older version stays in force if weights move back and forth.
    request.kvVersion = Math.min(request.kvVersion, version)
    const stamp = { version, kv_version: request.kvVersion, boot_id: this._bootId }
    const reason = isWhole ? request.finishReason : null
    const isTruncated = request.tokenIds.length >= request.truncateAt
    request.sink?.send(added, isTruncated ? null : reason, this._faults().unstamped ? undefined : stamp)
    if (isTruncated) return this._end(request, 'truncated', () => request.sink?.truncate())
    const dropAfter = this._faults().drop_after_tokens
    if (dropAfter > 0 && request.tokenIds.length - request.resumed >= dropAfter) {
      return this._end(request, 'dropped', () => request.sink?.reset())
    }
    if (isWhole) this._end(request, 'completed', () => request.sink?.complete())
  }

  private _end (request: EngineRequest, outcome: string, close: () => void): void {
    this._finish(request, outcome)
    close()
  }

  private _finish (request: EngineRequest, outcome: string): void {
    this.running.delete(request)
    request.outcome = outcome
    request.finishedAtMs = Date.now()
  }
}
