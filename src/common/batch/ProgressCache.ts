import type { ItemProgress } from './record/ItemProgress.js'

/** Number of items whose output is kept after their batch has ended. */
const MAX_ITEMS = 300

/** Output of items whose batch has ended, since a later batch may resubmit their groups. Evicts the least recently added. */
export class ProgressCache {
  private readonly _byItem = new Map<string, ItemProgress>()

  put (itemId: string, progress: ItemProgress): void {
    if (progress.events.length === 0) return
    this._byItem.delete(itemId)
    this._byItem.set(itemId, progress)
    const oldest = this._byItem.keys().next().value
    if (this._byItem.size > MAX_ITEMS && oldest !== undefined) this._byItem.delete(oldest)
  }

  /** Removes the progress of an item, and returns it if the batch accepts its versions. */
  take (itemId: string, minVersion: number, isSingleVersion: boolean): ItemProgress | undefined {
    const progress = this._byItem.get(itemId)
    if (progress === undefined) return undefined
    this._byItem.delete(itemId)
    const isAccepted = progress.versions.every(version => version >= minVersion)
    return isAccepted && (!isSingleVersion || progress.versions.length === 1) ? progress : undefined
  }
}
