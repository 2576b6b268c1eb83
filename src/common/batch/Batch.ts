import type { BatchItem } from './record/BatchItem.js'
import type { BatchResult } from './record/BatchResult.js'
import type { BatchSpec } from './record/BatchSpec.js'
import { ItemState } from './record/ItemState.js'

/** An accepted batch: its items, its durable results by position, and whether it has ended. */
export class Batch {
  readonly items: ItemState[]
  readonly results: BatchResult[] = []
  /** Number of results, counted from position 0, whose texts have to be loaded from the store. */
  unloadedTextCount = 0
  /** Number of result positions allocated, including those whose records are not durable yet. */
  positionsAllocated = 0
  private _groupsIncompleteAtEnd?: ReadonlySet<string>
  /** Groups that an earlier batch left incomplete and this one submits again; the trainer always waits for these. */
  readonly resubmittedGroups = new Set<string>()
  readonly itemsByGroup = new Map<string, ItemState[]>()
  private readonly _byId = new Map<string, ItemState>()

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

  /** Evicts the result texts from memory; the store keeps them. */
  evictTexts (): void {
    for (const result of this.results) result.text = ''
    this.unloadedTextCount = this.results.length
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
    this.positionsAllocated = Math.max(this.positionsAllocated, position + 1)
    const state = this._byId.get(result.itemId)
    if (state !== undefined) state.status = 'finished'
  }
}
