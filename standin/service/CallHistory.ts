import { createHash } from 'node:crypto'
import type { RecordedCall } from './RecordedCall.js'

// Calls without a key (lookups) are numerous and are checked soon after they ran, so only recent ones are kept.
// Calls with a key are never evicted.
const MAX_RETAINED_KEYLESS_CALLS = 20_000

/** Calls that a service ran. Calls are not deduplicated, so that repeated runs are visible. */
export class CallHistory {
  private readonly _keyedCalls: RecordedCall[] = []
  private readonly _keylessCalls: RecordedCall[] = []
  private readonly _runCounts = new Map<string, number>()

  start (call: { key: string, requestId: string, method: string, path: string, body: string }): RecordedCall {
    const digest = createHash('sha256').update(call.body).digest('hex')
    const recordedCall: RecordedCall = {
      key: call.key,
      request_id: call.requestId,
      method: call.method,
      path: call.path,
      body_sha256: digest,
      count: 1,
      started_at_ms: Date.now()
    }
    if (call.key === '') {
      this._keylessCalls.push(recordedCall)
      if (this._keylessCalls.length > 2 * MAX_RETAINED_KEYLESS_CALLS) this._keylessCalls.splice(0, MAX_RETAINED_KEYLESS_CALLS)
      return recordedCall
    }
    const countKey = `${call.key}\n${digest}`
    recordedCall.count = (this._runCounts.get(countKey) ?? 0) + 1
    this._runCounts.set(countKey, recordedCall.count)
    this._keyedCalls.push(recordedCall)
    return recordedCall
  }

  /** Lists calls in order of their start, optionally only those with a given key or path. */
  list (filter: { key?: string | undefined, path?: string | undefined }): RecordedCall[] {
    return [...this._keyedCalls, ...this._keylessCalls]
      .filter(call => filter.key === undefined || call.key === filter.key)
      .filter(call => filter.path === undefined || call.path === filter.path)
      .sort((a, b) => a.started_at_ms - b.started_at_ms)
  }
}
