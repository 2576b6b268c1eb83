import type { ItemProgress } from './record/ItemProgress.js'

/** Items that are remembered after their batch has ended. */
const MAX_ITEMS = 300

/** What was generated of items whose batch has ended; their groups may come back in a later batch. */
export class ProgressCache {
  private readonly _byItem = new Map<string, ItemProgress>()

  put (itemId: string, progress: ItemProgress): void {
    if (progress.events.length === 0) return
    this._byItem.delete(itemId)
    this._byItem.set(itemId, progress)
    const oldest = this._byItem.keys().next().value
    if (this._byItem.size > MAX_ITEMS && oldest !== undefined) this._byItem.delete(oldest)
  }

  /** Returns progress that a batch accepts, and forgets it. */
  take (itemId: string, minVersion: number, isSingleVersion: boolean): ItemProgress | undefined {
    const progress = this._byItem.get(itemId)
    if (progress === undefined) return undefined
    this._byItem.delete(itemId)
    const isFresh = progress.versions.every(version => version >= minVersion)
    return isFresh && (!isSingleVersion || progress.versions.length === 1) ? progress : undefined
  }
}
