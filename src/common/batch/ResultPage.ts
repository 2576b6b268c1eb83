import type { BatchResult } from './record/BatchResult.js'

/** Consecutive results of one response; contains at least one if there is one, however long its text is. */
export class ResultPage {
  /** Maximum length of the result texts in one response, in characters. */
  static readonly maxChars = 700_000

  readonly results: BatchResult[] = []
  private _chars = 0

  /** Adds a result; returns false if it does not fit any more. */
  add (result: BatchResult): boolean {
    this._chars += result.text.length
    if (this.results.length > 0 && this._chars > ResultPage.maxChars) return false
    this.results.push(result)
    return true
  }
}
