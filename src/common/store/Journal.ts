import { err, ok, type Result } from 'neverthrow'
import { Backoff } from '../log/Backoff.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from './IStoreClient.js'
import type { StoreError } from './StoreError.js'

/** Longest wait for the response of one append. */
const APPEND_TIMEOUT_MS = 700
/** Below the store's limit for one call, with room for keys and lengths. */
const MAX_CALL_BYTES = 1_500_000
const RECORD_OVERHEAD_BYTES = 64
const MAX_PAUSE_MS = 300

interface JournalRecord { key: string, value?: Uint8Array }
interface Queued { records: readonly JournalRecord[], bytes: number, resolve: (result: Result<void, StoreError>) => void }

/**
 * The one writer of a keyed topic in one epoch. Appends go out one at a time, each with what was queued
 * meanwhile, and are repeated under the same sequence number until the store has answered.
 */
export class Journal {
  private readonly _queue: Queued[] = []
  private _sequence = 0
  private _isClosed = false
  private _isBusy = false
  private _failingSinceMs?: number

  constructor (
    private readonly _client: IStoreClient,
    private readonly _topic: string,
    private readonly _writerName: string,
    private readonly _epoch: number,
    private readonly _logger: ILogger
  ) {}

  /** Fences all writers of lower epochs. */
  async open (): Promise<Result<void, StoreError>> {
    return await this._send([])
  }

  /** Resolves once all records are durable, or with an error when this writer has been replaced. */
  async append (records: readonly JournalRecord[]): Promise<Result<void, StoreError>> {
    if (this._isClosed) return err(closedError())
    const bytes = records.reduce((sum, record) => sum + RECORD_OVERHEAD_BYTES + record.key.length + (record.value?.length ?? 0), 0)
    return await new Promise(resolve => {
      this._queue.push({ records, bytes, resolve })
      if (!this._isBusy) this._drain().catch((fault: unknown) => this._logger.error({ topic: this._topic, reason: String(fault) }, 'journal_fault'))
    })
  }

  /** For how long appends have failed, in milliseconds; 0 while they succeed. */
  failingForMs (): number {
    return this._failingSinceMs === undefined ? 0 : performance.now() - this._failingSinceMs
  }

  get isIdle (): boolean {
    return !this._isBusy && this._queue.length === 0
  }

  close (): void {
    this._isClosed = true
    for (const queued of this._queue.splice(0)) queued.resolve(err(closedError()))
  }

  private async _drain (): Promise<void> {
    this._isBusy = true
    while (this._queue.length > 0 && !this._isClosed) {
      const batch = this._takeBatch()
      const result = await this._send(batch.flatMap(queued => queued.records))
      for (const queued of batch) queued.resolve(result)
    }
    this._isBusy = false
  }

  private _takeBatch (): Queued[] {
    let count = 0
    let bytes = 0
    while (count < this._queue.length && (count === 0 || bytes + (this._queue[count]?.bytes ?? 0) <= MAX_CALL_BYTES)) {
      bytes += this._queue[count]?.bytes ?? 0
      count += 1
    }
    return this._queue.splice(0, count)
  }

  private async _send (records: readonly JournalRecord[]): Promise<Result<void, StoreError>> {
    const backoff = new Backoff()
    let sequence = this._sequence
    let mayHaveLanded = false
    for (;;) {
      if (this._isClosed) return err(closedError())
      const result = await this._client.append({
        topic: this._topic,
        records,
        writer: { name: this._writerName, epoch: this._epoch, sequence },
        timeoutMs: APPEND_TIMEOUT_MS
      })
      if (result.isOk()) {
        if (records.length > 0) this._sequence = sequence + 1
        this._failingSinceMs = undefined
        const { firstOffset, endOffset } = result.value
        if (endOffset - firstOffset === records.length) return ok(undefined)
        // The store took this append for a repeat of another one under the same number.
        this._logger.error({ topic: this._topic, epoch: this._epoch, sequence, first_offset: firstOffset, end_offset: endOffset, records: records.length }, 'journal_append_not_applied')
        sequence = this._sequence
        continue
      }
      const { error } = result
      if (error.kind === 'fenced' || error.kind === 'rejected') {
        this._logger.error({ topic: this._topic, epoch: this._epoch, sequence, reason: error.message, kind: error.kind }, 'journal_append_refused')
        return err(error)
      }
      if (error.kind === 'out_of_sequence') {
        this._sequence = error.expectedSequence
        // The number after this one is expected when an append without a response took effect.
        if (mayHaveLanded && error.expectedSequence === sequence + 1) return ok(undefined)
        sequence = error.expectedSequence
        this._logger.warn({ topic: this._topic, epoch: this._epoch, sequence }, 'journal_sequence_adopted')
        continue
      }
      mayHaveLanded ||= error.mayTakeEffect
      this._failingSinceMs ??= performance.now()
      this._logger.warn({ topic: this._topic, epoch: this._epoch, sequence, reason: error.message }, 'journal_append_retried')
      await new Promise(resolve => setTimeout(resolve, Math.min(MAX_PAUSE_MS, backoff.nextDelayMs())))
    }
  }
}

function closedError (): StoreError {
  return { kind: 'fenced', message: 'this writer has been replaced', mayTakeEffect: false }
}
