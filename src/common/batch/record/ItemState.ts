import type { BatchItem } from './BatchItem.js'
import { emptyProgress } from './emptyProgress.js'
import type { ItemProgress } from './ItemProgress.js'

/** Four characters of base64 stand for three bytes. */
const BYTES_PER_BASE64_CHAR = 0.75

/** State of a batch item at the leader. */
export class ItemState {
  /**
   * - `waiting`: needs an engine.
   * - `scoring`: its text is complete and waits for its reward call.
   * - `finished`: its result is final, but may not be durable yet.
   */
  status: 'waiting' | 'running' | 'scoring' | 'finished' = 'waiting'
  progress: ItemProgress = emptyProgress()
  /** Id of the last event that was passed to the store. */
  savedEventId = 0
  /** Whether it was passed to the store that the output is complete. */
  isCompletionSaved = false
  /** Number of progress parts that were passed to the store. */
  savedParts = 0
  /** Number of runs that an engine reported as failed. */
  failures = 0
  /** Number of consecutive runs that broke before their first event. */
  failuresWithoutOutput = 0
  /** The item is not retried before this time, in terms of `performance.now()`. */
  notBeforeMs = 0
  /** Upstreams at which this item last failed or was refused; others are tried first. */
  readonly deprioritisedUpstreams = new Set<string>()

  constructor (readonly item: BatchItem, readonly index: number) {}

  /** Approximate size of the body that a run sends to an engine. */
  get bodyBytes (): number {
    return Math.floor(this.item.bodyBase64.length * BYTES_PER_BASE64_CHAR)
  }

  /** Whether the output has changed since it was last passed to the store. */
  get hasUnsavedProgress (): boolean {
    return this.progress.lastEventId > this.savedEventId || (this.progress.isComplete && !this.isCompletionSaved)
  }

  /** Discards the output, so that the next run begins from the start. */
  restart (): void {
    this.resumeFrom(emptyProgress())
  }

  /**
   * Replaces the output with that of another sequence of runs. All of it has to be saved again, because saved
   * parts of two sequences must not be joined.
   */
  resumeFrom (progress: ItemProgress): void {
    this.progress = progress
    this.markUnsaved()
  }

  /** Makes the next save contain the whole output. */
  markUnsaved (): void {
    this.savedEventId = 0
    this.isCompletionSaved = false
  }
}
