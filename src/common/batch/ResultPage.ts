import type { BatchResult } from './record/BatchResult.js'

/** Maximum length of the result texts in one response, in characters. */
const MAX_PAGE_CHARS = 700_000

/** Consecutive results of one response; contains at least one if there is one, however long its text is. */
export class ResultPage {
  readonly results: BatchResult[] = []
  private _chars = 0

  /** Adds a result; returns false if it does not fit any more. */
  add (result: BatchResult): boolean {
    this._chars += result.text.length
    if (this.results.length > 0 && this._chars > MAX_PAGE_CHARS) return false
    this.results.push(result)
    return true
  }
}
