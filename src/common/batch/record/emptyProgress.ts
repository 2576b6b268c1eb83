import type { ItemProgress } from './ItemProgress.js'

/** Progress of an item that has no event yet. */
export function emptyProgress (): ItemProgress {
  return { events: [], lastEventId: 0, versions: [], isComplete: false }
}
