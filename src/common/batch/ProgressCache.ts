import type { BatchSpec } from './record/BatchSpec.js'
import type { ItemProgress } from './record/ItemProgress.js'

/** Number of items whose output is kept after their batch has ended. */
const MAX_ITEMS = 300

/**
 * Output of items whose batch has ended, since a later batch of the organisation may resubmit their groups. Evicts the
 * least recently added.
 */
export class ProgressCache {
  private readonly _byItem = new Map<string, ItemProgress>()

  put ({ organisation }: BatchSpec, itemId: string, progress: ItemProgress): void {
    if (progress.events.length === 0) return
    const key = keyOf(organisation, itemId)
    this._byItem.delete(key)
    this._byItem.set(key, progress)
    const oldest = this._byItem.keys().next().value
    if (this._byItem.size > MAX_ITEMS && oldest !== undefined) this._byItem.delete(oldest)
  }

  /** Removes the progress of an item, and returns it if the batch accepts its versions. */
  take ({ organisation, minVersion }: BatchSpec, itemId: string, isSingleVersion: boolean): ItemProgress | undefined {
    const key = keyOf(organisation, itemId)
    const progress = this._byItem.get(key)
    if (progress === undefined) return undefined
    this._byItem.delete(key)
    const isAccepted = progress.versions.every(version => version >= minVersion)
    return isAccepted && (!isSingleVersion || progress.versions.length === 1) ? progress : undefined
  }
}

/** Organisations choose the ids of their items, so two of them may use the same one. */
function keyOf (organisation: string | undefined, itemId: string): string {
  return JSON.stringify([organisation, itemId])
}
