/** Holds bytes of a shared budget. */
interface BudgetHolder {
  /** Gives up; its bytes have been released. */
  fail (message: string): void
}

/**
 * Bounds the bytes that several holders keep in memory at the same time. Over the limit, the largest holder fails: an
 * upstream that sends without end must not cost other responses.
 */
export class SharedBudget {
  private readonly _bytesByHolder = new Map<BudgetHolder, number>()
  private _totalBytes = 0

  constructor (private readonly _maxBytes: number) {}

  /** Adds bytes of a holder, and fails the largest holder, which may be this one, while the limit is exceeded. */
  add (holder: BudgetHolder, bytes: number): void {
    this._bytesByHolder.set(holder, (this._bytesByHolder.get(holder) ?? 0) + bytes)
    this._totalBytes += bytes
    while (this._totalBytes > this._maxBytes) {
      const largest = this._findLargest()
      if (largest === undefined) return
      this.release(largest)
      largest.fail(`all together exceed ${this._maxBytes} bytes, and this one is the largest`)
    }
  }

  /** Releases the bytes of a holder. */
  release (holder: BudgetHolder): void {
    this._totalBytes -= this._bytesByHolder.get(holder) ?? 0
    this._bytesByHolder.delete(holder)
  }

  private _findLargest (): BudgetHolder | undefined {
    let largest: { holder: BudgetHolder, bytes: number } | undefined
    for (const [holder, bytes] of this._bytesByHolder) {
      if (largest === undefined || bytes > largest.bytes) largest = { holder, bytes }
    }
    return largest?.holder
  }
}
