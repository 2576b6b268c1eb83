import type { z } from 'zod'
import { hash } from '../common/hash.js'
import type { completionSchema } from './completionSchema.js'
import { countTokens } from './countTokens.js'
import type { IStreamSink } from './IStreamSink.js'
import { KvHandle } from './KvHandle.js'
import type { PrefixCache } from './PrefixCache.js'
import { TokenSource } from './TokenSource.js'

type Completion = z.output<typeof completionSchema>

/** One generation on an engine: its output so far and its prefill and token progress. */
export class EngineRequest {
  readonly model: string
  readonly prompt: string
  readonly source: TokenSource
  readonly total: number
  readonly finishReason: string
  /** Whole output, resumed tokens included. */
  readonly tokenIds: number[]
  readonly resumed: number
  readonly acceptedAtMs = Date.now()
  startedAtMs: number | undefined
  finishedAtMs: number | undefined
  outcome = 'waiting'
  /** Oldest version whose KV cache the next tokens attend to. */
  kvVersion = 0
  /** Output length at which the stream is to be truncated. */
  truncateAt = Infinity
  sink: IStreamSink | undefined
  private readonly _kvHandle: string | undefined
  private _prefillLeft = 0
  private _isPrefilled = false
  private _credit = 0

  constructor (readonly id: string, body: Completion) {
    this.model = body.model
    this.prompt = body.prompt
    this.source = new TokenSource(body.prompt, body.model, body.seed)
    this.total = this.source.length(body.max_tokens)
    this.finishReason = this.total < body.max_tokens ? 'stop' : 'length'
    this.tokenIds = [...body.resume?.token_ids ?? []]
    this.resumed = this.tokenIds.length
    this._kvHandle = body.kv_handle
  }

  /** Begins the prefill; cached prefixes and an imported KV cache shorten it. */
  start (version: number, cache: PrefixCache): void {
    this.startedAtMs = Date.now()
    this.outcome = 'running'
    const needed = countTokens(this.prompt) + this.resumed
    const cached = cache.lookup(this.model, this.prompt)
    const imported = this._importedKv()
    const useImport = imported !== undefined && imported.tokens > cached.tokens
    const saved = useImport ? imported.tokens : cached.tokens
    const oldest = useImport ? imported.kv_version : cached.oldestVersion
    this.kvVersion = Math.min(version, oldest)
    this._prefillLeft = Math.max(0, needed - saved)
  }

  /** Spends time on the prefill; true when it is done. */
  prefill (tokens: number): boolean {
    this._prefillLeft -= tokens
    return this._prefillLeft <= 0
  }

  /** True once, on the first call after the prefill. */
  takePrefilled (): boolean {
    const isFirst = !this._isPrefilled
    this._isPrefilled = true
    return isFirst
  }

  /** Produces the tokens that the time allows, at one version. */
  produce (tokens: number, version: number): number[] {
    this._credit += tokens
    const count = Math.min(Math.floor(this._credit), this.total - this.tokenIds.length)
    this._credit -= Math.floor(this._credit)
    const added: number[] = []
    for (let n = 0; n < count; n++) {
      const id = this.source.at(version, this.tokenIds.length)
      this.tokenIds.push(id)
      added.push(id)
    }
    return added
  }

  exportKv (): string {
    const tokens = countTokens(this.prompt) + this.tokenIds.length
    return KvHandle.encode({ model: this.model, prompt: hash.text(this.prompt), tokens, kv_version: this.kvVersion })
  }

  private _importedKv (): ReturnType<typeof KvHandle.decode> {
    if (this._kvHandle === undefined) return undefined
    const kv = KvHandle.decode(this._kvHandle)
    return kv?.model === this.model && kv.prompt === hash.text(this.prompt) ? kv : undefined
  }
}
