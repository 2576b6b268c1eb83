import type { BatchItem } from './record/BatchItem.js'
import type { BatchResult } from './record/BatchResult.js'
import type { BatchSpec } from './record/BatchSpec.js'
import { ItemState } from './record/ItemState.js'

/** An accepted batch: its items, its durable results by position, and whether it has ended. */
export class Batch {
  readonly items: ItemState[]
  /** Durable results by position; sparse while a lower position is not durable. */
  readonly results: BatchResult[] = []
  /** Number of result positions allocated, including those whose records are not durable yet. */
  positionsAllocated = 0
  private _groupsIncompleteAtEnd?: ReadonlySet<string>
  /** Groups that an earlier batch left incomplete and this one submits again; the trainer always waits for these. */
  readonly resubmittedGroups = new Set<string>()
  readonly itemsByGroup = new Map<string, ItemState[]>()
  private readonly _byId = new Map<string, ItemState>()
  /** Positions of the results whose texts have to be loaded from the store. */
  private readonly _unloadedTexts = new Set<number>()
  private _textsUsedAtMs = performance.now()
  /** When this process accepted or restored the batch, in terms of `performance.now()`. */
  private readonly _observedAtMs = performance.now()

  constructor (readonly spec: BatchSpec, items: readonly BatchItem[]) {
    this.items = items.map((item, index) => new ItemState(item, index))
    for (const state of this.items) {
      this._byId.set(state.item.id, state)
      const group = this.itemsByGroup.get(state.item.group)
      if (group === undefined) this.itemsByGroup.set(state.item.group, [state])
      else group.push(state)
    }
  }

  find (itemId: string): ItemState | undefined {
    return this._byId.get(itemId)
  }

  get isEnded (): boolean {
    return this._groupsIncompleteAtEnd !== undefined
  }

  /** Number of results whose texts have to be loaded from the store. */
  get unloadedTextCount (): number {
    return this._unloadedTexts.size
  }

  unloadedTexts (): number[] {
    return [...this._unloadedTexts]
  }

  isTextLoaded (position: number): boolean {
    return !this._unloadedTexts.has(position)
  }

  /**
   * First position whose text has to be loaded for a response with the results from `fromPosition` on, which contains
   * at least one and no more than fit into `maxChars` characters.
   */
  nextUnloadedText (fromPosition: number, maxChars: number): number | undefined {
    let chars = 0
    for (let position = fromPosition; chars <= maxChars; position++) {
      const result = this.results[position]
      if (result === undefined) return undefined
      if (!this.isTextLoaded(position)) return position
      chars += result.text.length
    }
    return undefined
  }

  setText (position: number, text: string): void {
    const result = this.results[position]
    if (result !== undefined) this.results[position] = { ...result, text }
    this._unloadedTexts.delete(position)
    this.markTextsUsed()
  }

  /** Records that a read needs texts, so that they stay in memory for some time. */
  markTextsUsed (): void {
    this._textsUsedAtMs = performance.now()
  }

  /** Time since a text was last read or loaded, in milliseconds. */
  textsIdleMs (): number {
    return performance.now() - this._textsUsedAtMs
  }

  /** Evicts the result texts from memory; the store keeps them. Results that were already returned keep theirs. */
  evictTexts (): void {
    // Skips the gaps of positions whose results are not durable yet.
    this.results.forEach((result, position) => {
      if (result.textRecords === 0) return
      this.results[position] = { ...result, text: '' }
      this._unloadedTexts.add(position)
    })
  }

  /**
   * Time until `retentionMs` have passed since the submission, in milliseconds; 0 or less afterwards. Has to pass both on
   * the wall clock and on the steady clock of this process: the wall clock may be stepped, or differ from that of the
   * entry that accepted the batch, and work that is given up early is lost.
   */
  retentionLeftMs (retentionMs: number, nowUnixMs: number): number {
    const wallMs = this.spec.submittedAtMs + retentionMs - nowUnixMs
    const steadyMs = this._observedAtMs + retentionMs - performance.now()
    return Math.max(wallMs, steadyMs)
  }

  /** Ends the batch; `incompleteGroups` are those that a later batch may resubmit. */
  end (incompleteGroups: readonly string[]): void {
    this._groupsIncompleteAtEnd = new Set(incompleteGroups)
  }

  /** Evicts the items of an ended batch; their bodies and texts take most of its memory. */
  evictItems (): void {
    this.items.length = 0
    this._byId.clear()
    this.itemsByGroup.clear()
  }

  /** Groups with an item that is not finished. */
  incompleteGroups (): string[] {
    const isComplete = (items: readonly ItemState[]): boolean => items.every(state => state.status === 'finished')
    return [...this.itemsByGroup].filter(([, items]) => !isComplete(items)).map(([group]) => group)
  }

  /** Whether a later batch that contains this group would resubmit it. */
  mayBeResubmitted (group: string): boolean {
    return this._groupsIncompleteAtEnd?.has(group) ?? this.itemsByGroup.has(group)
  }

  /** Whether the batch has not ended and some items have no result position yet. */
  get isOpen (): boolean {
    return !this.isEnded && this.positionsAllocated < this.items.length
  }

  /** Durable results by position, up to the first position whose result is not durable. */
  listedResults (): BatchResult[] {
    const gap = this.results.findIndex(result => result === undefined)
    return gap < 0 ? [...this.results] : this.results.slice(0, gap)
  }

  addResult (position: number, result: BatchResult): void {
    this.results[position] = result
    this._unloadedTexts.delete(position)
    this.positionsAllocated = Math.max(this.positionsAllocated, position + 1)
    const state = this._byId.get(result.itemId)
    if (state !== undefined) state.status = 'finished'
  }
}
