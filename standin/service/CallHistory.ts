import { createHash } from 'node:crypto'
import type { RecordedCall } from './RecordedCall.js'

// Lookups are many and checked shortly after they ran; calls with a key are kept forever.
const MAX_KEYLESS_CALLS = 20_000

/** What a service ran. It does not deduplicate, so that double runs show. */
export class CallHistory {
  private readonly _keyed: RecordedCall[] = []
  private readonly _keyless: RecordedCall[] = []
  private readonly _counts = new Map<string, number>()

  start (call: { key: string, requestId: string, method: string, path: string, body: string }): RecordedCall {
    const digest = createHash('sha256').update(call.body).digest('hex')
    const entry: RecordedCall = {
      key: call.key,
      request_id: call.requestId,
      method: call.method,
      path: call.path,
      body_sha256: digest,
      count: 1,
      started_at_ms: Date.now()
    }
    if (call.key === '') {
      this._keyless.push(entry)
      if (this._keyless.length > 2 * MAX_KEYLESS_CALLS) this._keyless.splice(0, MAX_KEYLESS_CALLS)
      return entry
    }
    const countKey = `${call.key}\n${digest}`
    entry.count = (this._counts.get(countKey) ?? 0) + 1
    this._counts.set(countKey, entry.count)
    this._keyed.push(entry)
    return entry
  }

  /** Calls in order of start, optionally of one key or one path. */
  list (filter: { key?: string | undefined, path?: string | undefined }): RecordedCall[] {
    return [...this._keyed, ...this._keyless]
      .filter(call => filter.key === undefined || call.key === filter.key)
      .filter(call => filter.path === undefined || call.path === filter.path)
      .sort((a, b) => a.started_at_ms - b.started_at_ms)
  }
}
