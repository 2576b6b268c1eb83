import type { z } from 'zod'
import { hash } from '../common/hash.js'
import type { completionSchema } from './completionSchema.js'
import { countTokens } from './countTokens.js'
import type { IStreamSink } from './IStreamSink.js'
import { KvHandle } from './KvHandle.js'
import type { PrefixCache } from './PrefixCache.js'
import { TokenSource } from './TokenSource.js'

type Completion = z.output<typeof completionSchema>

/** A generation on an engine: its output so far and the progress of prefill and decoding. */
export class EngineRequest {
  readonly model: string
  readonly prompt: string
  readonly tokenSource: TokenSource
  readonly totalTokens: number
  readonly finishReason: string
  /** Output so far, resumed tokens included. */
  readonly tokenIds: number[]
  readonly resumedTokens: number
  readonly acceptedAtMs = Date.now()
  startedAtMs: number | undefined
  finishedAtMs: number | undefined
  outcome = 'waiting'
  /** Oldest version whose KV cache the next tokens attend to. */
  kvVersion = 0
  /** Output length at which a fault truncates the stream. */
  truncateAtTokens = Infinity
  sink: IStreamSink | undefined
  private readonly _kvHandle: string | undefined
  private _remainingPrefillTokens = 0
  private _isPrefilled = false
  private _accruedTokens = 0

  constructor (readonly id: string, body: Completion) {
    this.model = body.model
    this.prompt = body.prompt
    this.tokenSource = new TokenSource(body.prompt, body.model, body.seed)
    this.totalTokens = this.tokenSource.outputTokens(body.max_tokens)
    this.finishReason = this.totalTokens < body.max_tokens ? 'stop' : 'length'
    this.tokenIds = [...body.resume?.token_ids ?? []]
    this.resumedTokens = this.tokenIds.length
    this._kvHandle = body.kv_handle
  }

  /** Starts the prefill, which a cached prefix or an imported KV cache shortens. */
  start (version: number, cache: PrefixCache): void {
    this.startedAtMs = Date.now()
    this.outcome = 'running'
    const requiredTokens = countTokens(this.prompt) + this.resumedTokens
    const cached = cache.findLongestPrefix(this.model, this.prompt)
    const imported = this._decodeImportedKv()
    const usesImport = imported !== undefined && imported.tokens > cached.tokens
    const reusedTokens = usesImport ? imported.tokens : cached.tokens
    const oldestVersion = usesImport ? imported.kv_version : cached.oldestVersion
    this.kvVersion = Math.min(version, oldestVersion)
    this._remainingPrefillTokens = Math.max(0, requiredTokens - reusedTokens)
  }

  /** Processes this many tokens of the prefill; true when it is complete. */
  prefill (tokens: number): boolean {
    this._remainingPrefillTokens -= tokens
    return this._remainingPrefillTokens <= 0
  }

  /** Marks the prefill as complete; true on the first call only. */
  markPrefilled (): boolean {
    const isFirst = !this._isPrefilled
    this._isPrefilled = true
    return isFirst
  }

  /** Generates up to this many tokens at one version; fractions accrue until they make a whole token. */
  generate (tokens: number, version: number): number[] {
    this._accruedTokens += tokens
    const count = Math.min(Math.floor(this._accruedTokens), this.totalTokens - this.tokenIds.length)
    this._accruedTokens -= Math.floor(this._accruedTokens)
    const newTokenIds: number[] = []
    for (let n = 0; n < count; n++) {
      const id = this.tokenSource.tokenAt(version, this.tokenIds.length)
      this.tokenIds.push(id)
      newTokenIds.push(id)
    }
    return newTokenIds
  }

  exportKv (): string {
    const tokens = countTokens(this.prompt) + this.tokenIds.length
    return KvHandle.encode({ model: this.model, prompt: hash.toHex(this.prompt), tokens, kv_version: this.kvVersion })
  }

  private _decodeImportedKv (): ReturnType<typeof KvHandle.decode> {
    if (this._kvHandle === undefined) return undefined
    const kv = KvHandle.decode(this._kvHandle)
    return kv?.model === this.model && kv.prompt === hash.toHex(this.prompt) ? kv : undefined
  }
}
