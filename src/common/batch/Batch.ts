import type { BatchItem } from './record/BatchItem.js'
import type { BatchResult } from './record/BatchResult.js'
import type { BatchSpec } from './record/BatchSpec.js'
import { ItemState } from './record/ItemState.js'

/** One accepted batch: its items, its durable results in their positions, and its end. */
export class Batch {
  readonly items: ItemState[]
  readonly results: BatchResult[] = []
  /** Number of results, from the first, whose texts have to be read from the store. */
  unloadedTextCount = 0
  /** Positions given out, including those whose records are not durable yet. */
  positionsAllocated = 0
  private _leftGroups?: ReadonlySet<string>
  /** Groups that an earlier batch of this model left incomplete; the trainer waits for these in any case. */
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
    return this._leftGroups !== undefined
  }

  /** Forgets the texts, which the store keeps. */
  evictTexts (): void {
    for (const result of this.results) result.text = ''
    this.unloadedTextCount = this.results.length
  }

  /** Ends the batch; `incompleteGroups` are those that a later batch may ask for again. */
  end (incompleteGroups: readonly string[]): void {
    this._leftGroups = new Set(incompleteGroups)
  }

  /** Forgets the items of an ended batch, whose bodies and texts are most of its memory. */
  evictItems (): void {
    this.items.length = 0
    this._byId.clear()
    this.itemsByGroup.clear()
  }

  incompleteGroups (): string[] {
    const isWhole = (items: readonly ItemState[]): boolean => items.every(state => state.status === 'finished')
    return [...this.itemsByGroup].filter(([, items]) => !isWhole(items)).map(([group]) => group)
  }

  /** Whether a later batch that has this group asks for it again. */
  mayBeResubmitted (group: string): boolean {
    return this._leftGroups?.has(group) ?? this.itemsByGroup.has(group)
  }

  get isOpen (): boolean {
    return !this.isEnded && this.positionsAllocated < this.items.length
  }

  addResult (position: number, result: BatchResult): void {
    this.results[position] = result
    this.positionsAllocated = Math.max(this.positionsAllocated, position + 1)
    const state = this._byId.get(result.itemId)
    if (state !== undefined) state.status = 'finished'
  }
}
