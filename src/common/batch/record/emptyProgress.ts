import type { ItemProgress } from './ItemProgress.js'

/** Progress of an item without events. */
export function emptyProgress (): ItemProgress {
  return { events: [], lastEventId: 0, versions: [], isComplete: false }
}
