import type { BatchItem } from './BatchItem.js'
import { emptyProgress } from './emptyProgress.js'
import type { ItemProgress } from './ItemProgress.js'

/** An item of an open batch, with what this leader knows of its runs. */
export class ItemState {
  status: 'waiting' | 'running' | 'finished' = 'waiting'
  progress: ItemProgress = emptyProgress()
  /** Last event whose data is durable. */
  savedEventId = 0
  /** Parts of the progress that were written. */
  savedParts = 0
  /** Answers of upstreams that say that the run failed. */
  failures = 0
  /** Runs in a row that broke off before their first event. */
  failuresWithoutOutput = 0
  /** `performance.now()` before which it is not sent again. */
  notBeforeMs = 0
  /** Upstreams that broke off this item last; others are tried first. */
  readonly deprioritisedUpstreams = new Set<string>()

  constructor (readonly item: BatchItem, readonly index: number) {}

  /** Drops what was generated, for a run from the start. */
  restart (): void {
    this.resumeFrom(emptyProgress())
  }

  /** Goes on with the text of another chain of runs; parts of two chains must not be joined. */
  resumeFrom (progress: ItemProgress): void {
    this.progress = progress
    this.savedEventId = 0
  }
}
