import type { CacheEventBuffer } from './CacheEventBuffer.js'
import { PREFIX_BLOCK_TOKENS } from './PREFIX_BLOCK_TOKENS.js'
import { prefixHashes } from './prefixHashes.js'

interface Block { model: string, version: number }

/** Prompt prefix cache of limited size with least-recently-used eviction of blocks. */
export class PrefixCache {
  private readonly _blocks = new Map<string, Block>()

  constructor (private readonly _maxBlocks: number, private readonly _events: CacheEventBuffer) {}

  /** Length of the longest cached prefix of the prompt and the oldest version among its blocks. */
  findLongestPrefix (model: string, prompt: string): { tokens: number, oldestVersion: number } {
    let tokens = 0
    let oldestVersion = Infinity
    for (const prefix of prefixHashes(model, prompt)) {
      const block = this._blocks.get(prefix)
      if (block === undefined) break
      this._markUsed(prefix, block)
      tokens += PREFIX_BLOCK_TOKENS
      oldestVersion = Math.min(oldestVersion, block.version)
    }
    return { tokens, oldestVersion }
  }

  store (model: string, prompt: string, version: number): void {
    for (const prefix of prefixHashes(model, prompt)) {
      if (this._blocks.has(prefix)) continue
      this._blocks.set(prefix, { model, version })
      this._events.add('stored', prefix)
    }
    while (this._blocks.size > this._maxBlocks) this._evict(this._blocks.keys().next().value!)
  }

  /** Evicts a model's blocks, which are invalid once new weights are loaded. */
  evictModel (model: string): void {
    for (const [prefix, block] of [...this._blocks]) {
      if (block.model === model) this._evict(prefix)
    }
  }

  private _markUsed (prefix: string, block: Block): void {
    this._blocks.delete(prefix)
    this._blocks.set(prefix, block)
  }

  private _evict (prefix: string): void {
    this._blocks.delete(prefix)
    this._events.add('evicted', prefix)
  }
}
