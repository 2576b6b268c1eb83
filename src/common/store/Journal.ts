import { err, ok, type Result } from 'neverthrow'
import { Backoff } from '../kernel/Backoff.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from './IStoreClient.js'
import type { StoreError } from './StoreError.js'

/** Time-out of one append. */
const APPEND_TIMEOUT_MS = 700
/** Below the store's limit for one call, with a margin for keys and lengths. */
const MAX_CALL_BYTES = 1_500_000
const RECORD_OVERHEAD_BYTES = 64
const MAX_BACKOFF_MS = 300
/** Repetitions of an append that the store rejects after an attempt without a response, which may have taken effect. */
const MAX_REJECTED_RETRIES = 5

interface JournalRecord { key: string, value?: Uint8Array }
interface QueuedAppend { records: readonly JournalRecord[], bytes: number, resolve: (result: Result<void, StoreError>) => void }

/**
 * The only writer of a keyed topic in one epoch. Sends one append at a time, which contains all records queued
 * meanwhile, and retries it with the same sequence number until the store has responded.
 */
export class Journal {
  private readonly _queue: QueuedAppend[] = []
  private _sequence = 0
  private _isClosed = false
  private _isSending = false
  private _failingSinceMs?: number

  constructor (
    private readonly _client: IStoreClient,
    private readonly _topic: string,
    private readonly _writerName: string,
    private readonly _epoch: number,
    private readonly _logger: ILogger
  ) {}

  /** Fences all writers with lower epochs. */
  async open (): Promise<Result<void, StoreError>> {
    return await this._send([])
  }

  /**
   * Resolves once all records are durable, or with an error if the store refused one or this writer is closed. Records
   * that are too large for one call become durable in their order, not at once.
   */
  async append (records: readonly JournalRecord[]): Promise<Result<void, StoreError>> {
    if (this._isClosed) return err(closedError())
    const bytes = records.reduce((sum, record) => sum + sizeOf(record), 0)
    return await new Promise(resolve => {
      this._queue.push({ records, bytes, resolve })
      if (!this._isSending) this._sendQueue().catch((fault: unknown) => this._logger.error({ topic: this._topic, reason: String(fault) }, 'journal_fault'))
    })
  }

  /** Time since the first of the current series of failed appends, in milliseconds; 0 if the last append succeeded. */
  failingForMs (): number {
    return this._failingSinceMs === undefined ? 0 : performance.now() - this._failingSinceMs
  }

  /** Whether no append is queued or in flight. */
  get isIdle (): boolean {
    return !this._isSending && this._queue.length === 0
  }

  /** Stops sending, and fails all queued appends. */
  close (): void {
    this._isClosed = true
    for (const queued of this._queue.splice(0)) queued.resolve(err(closedError()))
  }

  private async _sendQueue (): Promise<void> {
    this._isSending = true
    while (this._queue.length > 0 && !this._isClosed) {
      const appends = this._takeQueued()
      const result = await this._sendInCalls(appends)
      // One append that the store rejects must not cost the others.
      if (result.isErr() && result.error.kind === 'rejected' && appends.length > 1) await this._sendSeparately(appends)
      else for (const queued of appends) queued.resolve(result)
    }
    this._isSending = false
  }

  private async _sendSeparately (appends: readonly QueuedAppend[]): Promise<void> {
    for (const queued of appends) queued.resolve(await this._sendInCalls([queued]))
  }

  /** Sends all records in order, in several calls if a single append is too large for one. */
  private async _sendInCalls (appends: readonly QueuedAppend[]): Promise<Result<void, StoreError>> {
    for (const records of splitIntoCalls(appends.flatMap(queued => queued.records))) {
      const result = await this._send(records)
      if (result.isErr()) return result
    }
    return ok(undefined)
  }

  /** Takes the queued appends that fit into one call, and at least one. */
  private _takeQueued (): QueuedAppend[] {
    let count = 0
    let bytes = 0
    while (count < this._queue.length && (count === 0 || bytes + (this._queue[count]?.bytes ?? 0) <= MAX_CALL_BYTES)) {
      bytes += this._queue[count]?.bytes ?? 0
      count += 1
    }
    return this._queue.splice(0, count)
  }

  private async _send (records: readonly JournalRecord[]): Promise<Result<void, StoreError>> {
    const backoff = new Backoff(MAX_BACKOFF_MS)
    let sequence = this._sequence
    let mayHaveTakenEffect = false
    let rejectedRetries = 0
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
        // The store treated this append as a retry of another one with the same sequence number.
        this._logger.error({ topic: this._topic, epoch: this._epoch, sequence, first_offset: firstOffset, end_offset: endOffset, records: records.length }, 'journal_append_not_applied')
        sequence = this._sequence
        continue
      }
      const { error } = result
      if (isFinal(error, mayHaveTakenEffect, rejectedRetries)) return this._onRefused(error, sequence, mayHaveTakenEffect)
      if (error.kind === 'out_of_sequence') {
        this._sequence = error.expectedSequence
        // If an append without a response took effect, the store expects the next sequence number.
        if (mayHaveTakenEffect && error.expectedSequence === sequence + 1) return ok(undefined)
        sequence = error.expectedSequence
        this._logger.warn({ topic: this._topic, epoch: this._epoch, sequence }, 'journal_sequence_adopted')
        continue
      }
      if (error.kind === 'rejected') rejectedRetries += 1
      mayHaveTakenEffect ||= error.mayTakeEffect
      this._failingSinceMs ??= performance.now()
      this._logger.warn({ topic: this._topic, epoch: this._epoch, sequence, reason: error.message }, 'journal_append_retried')
      await new Promise(resolve => setTimeout(resolve, backoff.nextDelayMs()))
    }
  }

  private _onRefused (error: StoreError, sequence: number, mayHaveTakenEffect: boolean): Result<void, StoreError> {
    this._logger.error({ topic: this._topic, epoch: this._epoch, sequence, reason: error.message, kind: error.kind }, 'journal_append_refused')
    // The next append must not be taken for a repetition of this one.
    if (mayHaveTakenEffect) this._sequence = sequence + 1
    return err(error)
  }
}

/** Whether the journal does not repeat the append. */
function isFinal (error: StoreError, mayHaveTakenEffect: boolean, rejectedRetries: number): boolean {
  if (error.kind !== 'rejected') return error.kind === 'fenced'
  return !mayHaveTakenEffect || rejectedRetries >= MAX_REJECTED_RETRIES
}

function closedError (): StoreError {
  return { kind: 'fenced', message: 'journal is closed: its writer has been replaced', mayTakeEffect: false }
}

function sizeOf ({ key, value }: JournalRecord): number {
  return RECORD_OVERHEAD_BYTES + key.length + (value?.length ?? 0)
}

function splitIntoCalls (records: readonly JournalRecord[]): JournalRecord[][] {
  const calls: JournalRecord[][] = []
  let bytes = Number.POSITIVE_INFINITY
  for (const record of records) {
    bytes += sizeOf(record)
    if (bytes <= MAX_CALL_BYTES) {
      calls.at(-1)?.push(record)
      continue
    }
    calls.push([record])
    bytes = sizeOf(record)
  }
  return calls
}
