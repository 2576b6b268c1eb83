import { err, type Result } from 'neverthrow'
import { ConcurrencyLimit } from '../kernel/ConcurrencyLimit.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import type { BatchReadOutcome } from './BatchReadOutcome.js'
import { BatchRecordCodec } from './BatchRecordCodec.js'
import { StoredBatchRead } from './StoredBatchRead.js'
import type { StoredReadFailure } from './StoredReadFailure.js'

/** Each request may hold a page of 1 MB and the texts of a response in memory, in several encodings. */
const MAX_CONCURRENT_READS = 2
/** Further requests would pass their deadline while they wait, so the caller should ask another entry at once. */
const MAX_QUEUED_READS = 32

/**
 * Answers reads of batches from the store, on any entry and without the leadership. Only a leader with a lease can tell
 * that a batch does not exist, so records that are missing or that cannot be read mean `unavailable`. Deadlines are in
 * terms of `performance.now()`.
 */
export class StoredBatchReader {
  private readonly _codec: BatchRecordCodec
  private readonly _limit = new ConcurrencyLimit(MAX_CONCURRENT_READS, MAX_QUEUED_READS)

  constructor (private readonly _client: IStoreClient, private readonly _logger: ILogger, private readonly _metrics: IMetrics) {
    this._codec = new BatchRecordCodec(_logger)
  }

  /** Reads results from a position on; does not wait for results that are not durable yet. */
  async read (id: string, fromPosition: number, organisation: string | undefined, deadlineAtMs: number): Promise<BatchReadOutcome> {
    const startedAtMs = performance.now()
    const read = new StoredBatchRead(this._client, this._codec, id, organisation, deadlineAtMs)
    const page = await this._run(async () => await read.readResults(fromPosition), deadlineAtMs)
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
    const read = new StoredBatchRead(this._client, this._codec, id, organisation, deadlineAtMs)
    const body = await this._run(async () => await read.readItemBody(itemId), deadlineAtMs)
    const fields = { batch: id, item: itemId, ...costOf(read, startedAtMs) }
    if (body.isErr()) return this._onFailed('item', body.error, fields)
    const kind = body.value === undefined ? 'absent' : 'body'
    this._logger.info({ ...fields, outcome: kind }, 'batch_item_read_from_store')
    this._count('item', kind)
    return body.value === undefined ? { kind: 'absent' } : { kind: 'body', bodyBase64: body.value }
  }

  private async _run<T> (read: () => Promise<Result<T, StoredReadFailure>>, deadlineAtMs: number): Promise<Result<T, StoredReadFailure>> {
    const acquired = await this._limit.acquire(deadlineAtMs)
    if (acquired !== 'acquired') return err({ reason: acquired })
    // After the deadline, a read keeps its place until its last page has ended, since that page still needs memory.
    const reading = read()
      .catch((fault: unknown) => err<T, StoredReadFailure>({ reason: 'fault', message: String(fault) }))
      .finally(() => this._limit.release())
    return await withDeadline(reading, deadlineAtMs)
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
