import { err, ok, type Result } from 'neverthrow'
import { ConcurrencyLimit } from '../kernel/ConcurrencyLimit.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import type { BatchReadOutcome } from './BatchReadOutcome.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { StoredBatchRead } from './StoredBatchRead.js'
import type { StoredReadFailure } from './StoredReadFailure.js'

/** Concurrent reads on a slow link would all miss their deadlines, and each holds pages of 1 MB in memory. */
const MAX_CONCURRENT_READS = 1
const MAX_QUEUED_READS = 8
/** A read that cannot start within this time would hardly be in time, so the caller should ask another entry. */
const START_TIMEOUT_MS = 300
/** Time-out of a read. Longer than its caller waits, so that the next attempt of the same caller can join it. */
const READ_TIMEOUT_MS = 4000
/** Time for which a result that came after the deadline of its caller is kept for the next attempt. */
const KEPT_MS = 2000
const MAX_KEPT_READS = 2

/**
 * Answers reads of batches from the store, on any entry and without the leadership. Only a leader with a lease can tell
 * that a batch does not exist, so records that are missing or that cannot be read mean `unavailable`. Deadlines are in
 * terms of `performance.now()`.
 */
export class StoredBatchReader {
  private readonly _codec: BatchRecordCodec
  private readonly _limit = new ConcurrencyLimit(MAX_CONCURRENT_READS, MAX_QUEUED_READS)
  /** Reads in progress, and those that ended after the deadline of their caller, by what they read. */
  private readonly _reads = new Map<string, Promise<Result<unknown, StoredReadFailure>>>()
  private _keptCount = 0

  constructor (private readonly _client: IStoreClient, private readonly _logger: ILogger, private readonly _metrics: IMetrics) {
    this._codec = new BatchRecordCodec(_logger)
  }

  /** Reads results from a position on; does not wait for results that are not durable yet. */
  async read (id: string, fromPosition: number, organisation: string | undefined, deadlineAtMs: number): Promise<BatchReadOutcome> {
    const startedAtMs = performance.now()
    const read = new StoredBatchRead(this._client, this._codec, id, organisation, Math.max(deadlineAtMs, startedAtMs + READ_TIMEOUT_MS))
    const page = await this._share(JSON.stringify(['results', organisation ?? null, id, fromPosition]), async () => await read.readResults(fromPosition), ({ results }) => results.length > 0, deadlineAtMs)
    const fields = { batch: id, from: fromPosition, results: page.isOk() ? page.value.results.length : 0, ...costOf(read, startedAtMs) }
    if (page.isErr()) return this._onFailed('results', page.error, fields)
    const { total, results } = page.value
    this._logger.info(fields, 'batch_read_from_store')
    this._count('results', 'results')
    return { kind: 'results', total, next: fromPosition + results.length, results }
  }

  /** Returns the body of an item of a batch that has not ended. */
  async findItem (id: string, itemId: string, organisation: string | undefined, deadlineAtMs: number): Promise<{ kind: 'body', bodyBase64: string } | { kind: 'absent' | 'unavailable' }> {
    const startedAtMs = performance.now()
    const read = new StoredBatchRead(this._client, this._codec, id, organisation, Math.max(deadlineAtMs, startedAtMs + READ_TIMEOUT_MS))
    const body = await this._share(JSON.stringify(['item', organisation ?? null, id, itemId]), async () => await read.readItemBody(itemId), () => true, deadlineAtMs)
    const fields = { batch: id, item: itemId, ...costOf(read, startedAtMs) }
    if (body.isErr()) return this._onFailed('item', body.error, fields)
    const kind = body.value === undefined ? 'absent' : 'body'
    this._logger.info({ ...fields, outcome: kind }, 'batch_item_read_from_store')
    this._count('item', kind)
    return body.value === undefined ? { kind: 'absent' } : { kind: 'body', bodyBase64: body.value }
  }

  /**
   * Joins a read of the same content, or starts one. `isLasting` tells whether a value is still true later; that there
   * are no results at a position is not.
   */
  private async _share<T> (readKey: string, read: () => Promise<Result<T, StoredReadFailure>>, isLasting: (value: T) => boolean, deadlineAtMs: number): Promise<Result<T, StoredReadFailure>> {
    const shared = this._reads.get(readKey) as Promise<Result<T, StoredReadFailure>> | undefined
    if (shared !== undefined) {
      const joined = await withDeadline(shared, deadlineAtMs)
      return joined.andThen(value => isLasting(value) ? ok(value) : err({ reason: 'joined_too_early' as const }))
    }
    const reading = this._run(read, deadlineAtMs)
    this._reads.set(readKey, reading)
    reading.then(
      result => this._keepOrForget(readKey, result.isOk() && isLasting(result.value) && performance.now() > deadlineAtMs),
      () => this._keepOrForget(readKey, false)
    )
    return await withDeadline(reading, deadlineAtMs)
  }

  private async _run<T> (read: () => Promise<Result<T, StoredReadFailure>>, deadlineAtMs: number): Promise<Result<T, StoredReadFailure>> {
    const acquired = await this._limit.acquire(Math.min(deadlineAtMs, performance.now() + START_TIMEOUT_MS))
    if (acquired !== 'acquired') return err({ reason: acquired })
    return await read()
      .catch((fault: unknown) => err<T, StoredReadFailure>({ reason: 'fault', message: String(fault) }))
      .finally(() => this._limit.release())
  }

  /** Keeps a result that nobody has received for a short time; there are few of these, since they take much memory. */
  private _keepOrForget (readKey: string, isUnused: boolean): void {
    if (!isUnused || this._keptCount >= MAX_KEPT_READS) {
      this._reads.delete(readKey)
      return
    }
    this._keptCount += 1
    setTimeout(() => {
      this._keptCount -= 1
      this._reads.delete(readKey)
    }, KEPT_MS)
  }

  private _onFailed (request: 'results' | 'item', { reason, message }: StoredReadFailure, fields: Record<string, unknown>): { kind: 'absent' | 'unavailable' } {
    this._logger.warn({ ...fields, reason, message }, 'batch_not_read_from_store')
    const kind = reason === 'other_organisation' ? 'absent' : 'unavailable'
    this._count(request, kind)
    return { kind }
  }

  private _count (request: 'results' | 'item', outcome: string): void {
    this._metrics.count('batch_store_reads_total', { request, outcome })
  }
}

function costOf (read: StoredBatchRead, startedAtMs: number): { records: number, duration_ms: number } {
  return { records: read.recordCount, duration_ms: Math.round(performance.now() - startedAtMs) }
}

async function withDeadline<T> (reading: Promise<Result<T, StoredReadFailure>>, deadlineAtMs: number): Promise<Result<T, StoredReadFailure>> {
  let timer: NodeJS.Timeout | undefined
  const deadline = new Promise<Result<T, StoredReadFailure>>(resolve => {
    timer = setTimeout(() => resolve(err({ reason: 'deadline_passed' })), deadlineAtMs - performance.now())
  })
  const result = await Promise.race([reading, deadline])
  clearTimeout(timer)
  return result
}
