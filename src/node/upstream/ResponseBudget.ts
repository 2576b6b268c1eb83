/** A response body that is being buffered. */
interface BufferedBody {
  /** Fails the response and closes its connection. */
  fail (message: string): void
}

/**
 * Bounds the memory of all response bodies that a client buffers at the same time. Over the limit, the largest body
 * fails: an upstream that sends without end must not cost other responses.
 */
export class ResponseBudget {
  private readonly _bytesByBody = new Map<BufferedBody, number>()
  private _totalBytes = 0

  constructor (private readonly _maxBytes: number) {}

  get bufferedBytes (): number {
    return this._totalBytes
  }

  /** Adds bytes of a body, and fails the largest body, which may be this one, while the limit is exceeded. */
  add (body: BufferedBody, bytes: number): void {
    this._bytesByBody.set(body, (this._bytesByBody.get(body) ?? 0) + bytes)
    this._totalBytes += bytes
    while (this._totalBytes > this._maxBytes) {
      const largest = this._findLargest()
      if (largest === undefined) return
      this.release(largest)
      largest.fail(`response bodies exceed ${this._maxBytes} bytes, and this one is the largest`)
    }
  }

  /** Removes a body that has ended. */
  release (body: BufferedBody): void {
    this._totalBytes -= this._bytesByBody.get(body) ?? 0
    this._bytesByBody.delete(body)
  }

  private _findLargest (): BufferedBody | undefined {
    let largest: { body: BufferedBody, bytes: number } | undefined
    for (const [body, bytes] of this._bytesByBody) {
      if (largest === undefined || bytes > largest.bytes) largest = { body, bytes }
    }
    return largest?.body
  }
}
