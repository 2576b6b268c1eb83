import { err, ok, type Result } from 'neverthrow'
import { Backoff } from '../kernel/Backoff.js'
import { Emitter } from '../kernel/Emitter.js'
import { sendAllowanceMs } from '../link/sendAllowanceMs.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { AppendedRange } from './AppendedRange.js'
import type { IStoreClient } from './IStoreClient.js'
import type { StoreError } from './StoreError.js'

/** Shortest time-out of one append. */
const MIN_APPEND_TIMEOUT_MS = 700
/** Part of it that the store may need for an append that it has received. */
const STORE_RESPONSE_MS = 300
/**
 * Longest time-out of one append, besides the time to send a large one. After an outage without responses, the journal
 * notices the store this much later.
 */
const MAX_APPEND_TIMEOUT_MS = 1400
/** Below the store's limit for one call, with a margin for keys and lengths. */
const MAX_CALL_BYTES = 1_500_000
const RECORD_OVERHEAD_BYTES = 64
const MAX_BACKOFF_MS = 300
/** Repetitions of an append that the store rejects after an attempt without a response, which may have taken effect. */
const MAX_REJECTED_RETRIES = 5

/** Removal of a key that no record has. */
const FILLER: JournalRecord = { key: 'filler' }

interface JournalRecord { key: string, value?: Uint8Array }
interface QueuedAppend { records: readonly JournalRecord[], bytes: number, resolve: (result: Result<void, StoreError>) => void }

/**
 * The only writer of a keyed topic in one epoch. Sends one append at a time, which contains all records queued
 * meanwhile, and retries it with the same sequence number until the store has responded. An append counts as durable
 * only if the offsets in the response show that it was executed, and not another one under its number.
 */
export class Journal {
  private readonly _onFenced = new Emitter<void>()
  /** Fires once when the store has a writer with a higher epoch, so that this one is closed. */
  readonly onFenced = this._onFenced.event
  private readonly _queue: QueuedAppend[] = []
  /** Number of the next append with records. */
  private _sequence = 0
  /** End of the last append that is known to be durable. An append of this journal begins there or later. */
  private _knownEndOffset = 0
  /** Numbers of records of the appends that were given up and may still take effect, by sequence number. */
  private readonly _givenUpCounts = new Map<number, Set<number>>()
  private _opening?: Promise<Result<void, StoreError>>
  private _timeoutMs = MIN_APPEND_TIMEOUT_MS
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

  /** Fences all writers with lower epochs. An epoch may have one journal only, since numbers begin at 0. */
  async open (): Promise<Result<void, StoreError>> {
    this._opening = this._send([])
    const opened = await this._opening
    this._opening = undefined
    return opened
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
    // Until the journal has opened it knows no end, and could not tell its own appends.
    if (this._opening !== undefined) await this._opening
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
    let mayHaveTakenEffect = false
    let rejectedRetries = 0
    for (;; await delay(backoff.nextDelayMs())) {
      if (this._isClosed) return err(closedError())
      const sent = this._pad(records)
      const result = await this._sendOnce(sent)
      if (result.isOk()) {
        if (this._acceptResponse(result.value, sent.length)) return ok(undefined)
        // Another append has this number, so none of the attempts under it can take effect any more.
        mayHaveTakenEffect = false
        continue
      }
      const { error } = result
      if (error.kind === 'fenced') return this._onRefused(error)
      if (error.kind === 'out_of_sequence') {
        // An attempt without a response may have taken effect; its records may be repeated, since only the newest of a key counts.
        if (mayHaveTakenEffect) this._giveUp(sent.length)
        this._adoptSequence(error.expectedSequence)
        continue
      }
      if (error.kind === 'rejected') {
        if (!mayHaveTakenEffect) return this._onRefused(error)
        rejectedRetries += 1
        if (rejectedRetries > MAX_REJECTED_RETRIES) return await this._resolveUncertainAppend(sent, error)
      }
      mayHaveTakenEffect ||= error.mayTakeEffect
      this._onRetry(error)
    }
  }

  /**
   * Decides whether an append whose repetitions are rejected took effect at an earlier attempt, by an append of other
   * records under its number. After that no attempt can take effect.
   */
  private async _resolveUncertainAppend (records: readonly JournalRecord[], rejection: StoreError): Promise<Result<void, StoreError>> {
    if (records.length === 0) return this._onRefused(rejection)
    this._giveUp(records.length)
    const backoff = new Backoff(MAX_BACKOFF_MS)
    for (;; await delay(backoff.nextDelayMs())) {
      if (this._isClosed) return err(closedError())
      const filler = this._pad([FILLER])
      const result = await this._sendOnce(filler)
      if (result.isOk()) {
        if (this._acceptResponse(result.value, filler.length)) return this._onRefused(rejection)
        return result.value.endOffset - result.value.firstOffset === records.length ? ok(undefined) : this._onRefused(rejection)
      }
      const { error } = result
      if (error.kind === 'fenced') return this._onRefused(error)
      if (error.kind === 'out_of_sequence') {
        this._adoptSequence(error.expectedSequence)
        return this._onRefused(rejection)
      }
      this._onRetry(error)
    }
  }

  private async _sendOnce (records: readonly JournalRecord[]): Promise<Result<AppendedRange, StoreError>> {
    const writer = { name: this._writerName, epoch: this._epoch, sequence: this._sequence }
    const sentAtMs = performance.now()
    const allowanceMs = sendAllowanceMs(records.reduce((sum, record) => sum + sizeOf(record), 0))
    const timeoutMs = Math.min(MAX_APPEND_TIMEOUT_MS + allowanceMs, Math.max(this._timeoutMs, STORE_RESPONSE_MS + allowanceMs))
    try {
      const result = await this._client.append({ topic: this._topic, records, writer, timeoutMs })
      // Without a response, the next one may take longer, too.
      if (result.isOk()) this._timeoutMs = clampTimeout(2 * (performance.now() - sentAtMs), allowanceMs)
      else if (result.error.mayTakeEffect) this._timeoutMs = clampTimeout(2 * timeoutMs, allowanceMs)
      return result
    } catch (fault) {
      // A record that cannot be encoded, for example with a key that is too long, must not end the sending of others.
      return err({ kind: 'rejected', message: String(fault), mayTakeEffect: false })
    }
  }

  /**
   * Processes the response to an append under the present number, and tells whether it is its own. The store gives the
   * first response again to any append under a number that it knows, whatever its records are.
   */
  private _acceptResponse ({ firstOffset, endOffset }: AppendedRange, recordCount: number): boolean {
    const isOwn = firstOffset >= this._knownEndOffset && endOffset - firstOffset === recordCount
    if (isOwn) {
      this._failingSinceMs = undefined
      this._knownEndOffset = endOffset
    } else {
      this._failingSinceMs ??= performance.now()
      this._logger.error({ topic: this._topic, epoch: this._epoch, sequence: this._sequence, first_offset: firstOffset, end_offset: endOffset, known_end_offset: this._knownEndOffset, records: recordCount }, 'journal_append_not_applied')
    }
    // An append without records uses no number.
    if (recordCount > 0) this._advanceTo(this._sequence + 1)
    return isOwn
  }

  private _adoptSequence (expectedSequence: number): void {
    this._failingSinceMs ??= performance.now()
    this._logger.warn({ topic: this._topic, epoch: this._epoch, sequence: this._sequence, expected_sequence: expectedSequence }, 'journal_sequence_adopted')
    this._advanceTo(expectedSequence)
  }

  private _advanceTo (sequence: number): void {
    this._sequence = sequence
    for (const used of this._givenUpCounts.keys()) if (used < sequence) this._givenUpCounts.delete(used)
  }

  /** Remembers an append under the present number that may still take effect although it is not repeated. */
  private _giveUp (recordCount: number): void {
    const counts = this._givenUpCounts.get(this._sequence) ?? new Set()
    this._givenUpCounts.set(this._sequence, counts.add(recordCount))
  }

  /** Adds records without an effect, so that the response tells an append from those that were given up under its number. */
  private _pad (records: readonly JournalRecord[]): readonly JournalRecord[] {
    const counts = this._givenUpCounts.get(this._sequence)
    if (counts === undefined || records.length === 0) return records
    const padded = [...records]
    while (counts.has(padded.length)) padded.push(FILLER)
    return padded
  }

  private _onRetry (error: StoreError): void {
    this._failingSinceMs ??= performance.now()
    this._logger.warn({ topic: this._topic, epoch: this._epoch, sequence: this._sequence, reason: error.message }, 'journal_append_retried')
  }

  private _onRefused (error: StoreError): Result<void, StoreError> {
    this._logger.error({ topic: this._topic, epoch: this._epoch, sequence: this._sequence, reason: error.message, kind: error.kind }, 'journal_append_refused')
    if (error.kind === 'fenced' && !this._isClosed) {
      this.close()
      this._onFenced.fire()
    }
    return err(error)
  }
}

function clampTimeout (timeoutMs: number, allowanceMs: number): number {
  return Math.min(MAX_APPEND_TIMEOUT_MS + allowanceMs, Math.max(MIN_APPEND_TIMEOUT_MS, timeoutMs))
}

async function delay (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
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
