import type { OriginRange } from '../schema/OriginRange.js'

/** Collects the origin of tokens in order; neighbouring ranges with equal versions are merged. */
export class OriginRanges {
  private readonly _ranges: OriginRange[] = []

  /** Adds the next range; throws when it leaves a gap or overlaps, which is a fault of the caller. */
  append (range: OriginRange): void {
    if (range.from !== this.tokenCount || range.to <= range.from) {
      throw new RangeError(`origin range ${range.from}..${range.to} does not continue at ${this.tokenCount}`)
    }
    const last = this._ranges.at(-1)
    if (last !== undefined && last.version === range.version && last.kv_version === range.kv_version) {
      last.to = range.to
      return
    }
    this._ranges.push({ ...range })
  }

  /** Number of tokens covered from the first one without a gap. */
  get tokenCount (): number {
    return this._ranges.at(-1)?.to ?? 0
  }

  covers (tokens: number): boolean {
    return tokens > 0 && this.tokenCount === tokens
  }

  toArray (): OriginRange[] {
    return this._ranges.map((range) => ({ ...range }))
  }
}
