import { err, ok, type Result } from 'neverthrow'
import type { UsageReport } from '../duty/UsageReport.js'
import { Disposable } from '../kernel/Disposable.js'
import { parseJson } from '../kernel/parseJson.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IStoreClient } from '../store/IStoreClient.js'
import { Journal } from '../store/Journal.js'
import type { KeyedRecord } from '../store/KeyedRecord.js'
import { readAllNewest } from '../store/readAllNewest.js'
import type { StoreError } from '../store/StoreError.js'
import { usageRecordSchema } from './usageRecordSchema.js'

const TOPIC = 'keyed.usage'
const WRITER = 'usage'
const REPORT_PREFIX = 'report/'
const FIRST_WINDOW_KEY = 'first-window'
/**
 * Four times the windows that may still be reported. Records are removed by number and not by age, so that a holder with
 * a wrong clock removes none that another one needs to know that a window is committed.
 */
const MAX_RECORDS = 240
/** Records removed in one append. */
const REMOVAL_BATCH = 24

type Completion = 'sent' | 'abandoned'
interface LedgerEntry { counts?: Record<string, number> }

/** Durable counts of each window, and which of them the platform has accepted. Only the leader of one epoch writes them. */
export class UsageLedger extends Disposable {
  /** Windows with a record; their counts, if the report is still to be sent. */
  private readonly _entries = new Map<number, LedgerEntry>()
  /** Completions that are written with the next commit; a lost one costs a repetition, which the platform ignores. */
  private readonly _unwritten = new Map<number, Completion>()
  private readonly _journal: Journal
  private _firstWindow = 0

  constructor (private readonly _client: IStoreClient, epoch: number, private readonly _logger: ILogger) {
    super()
    this._journal = new Journal(_client, TOPIC, WRITER, epoch, _logger)
    this._register({ dispose: () => this._journal.close() })
  }

  /** Fences the previous writers and reads what they committed. */
  async open (): Promise<Result<void, StoreError>> {
    const fenced = await this._journal.open()
    if (fenced.isErr()) return err(fenced.error)
    const snapshot = await readAllNewest(this._client, TOPIC)
    if (snapshot.isErr()) return err(snapshot.error)
    for (const record of snapshot.value.records) this._restore(record)
    this._logger.info({ windows: this._entries.size, unsent: this.unsent().length }, 'usage_reports_restored')
    return ok(undefined)
  }

  /** The oldest window with a record; undefined if there has been no report. */
  get oldestWindow (): number | undefined {
    return this._entries.size === 0 ? undefined : Math.min(...this._entries.keys())
  }

  /** Whether the counts of a window are durable, or were. */
  isCommitted (window: number): boolean {
    return window < this._firstWindow || this._entries.has(window)
  }

  windows (): Iterable<number> {
    return this._entries.keys()
  }

  /** Committed reports that are neither sent nor abandoned, oldest first. */
  unsent (): UsageReport[] {
    const reports: UsageReport[] = []
    for (const [window, { counts }] of this._entries) if (counts !== undefined) reports.push({ window, counts })
    return reports.sort((a, b) => a.window - b.window)
  }

  /** Makes the counts of windows durable. After an error, it must be repeated with the same counts. */
  async commit (reports: readonly UsageReport[]): Promise<Result<void, StoreError>> {
    const completions = [...this._unwritten]
    const removed = this._selectRemoved(reports)
    const firstWindow = Math.max(this._firstWindow, ...removed.map(window => window + 1))
    const written = await this._journal.append([
      ...reports.map(({ window, counts }) => ({ key: keyOf(window), value: encode({ state: 'committed', counts }) })),
      ...completions.filter(([window]) => !removed.includes(window)).map(([window, state]) => ({ key: keyOf(window), value: encode({ state }) })),
      ...removed.length > 0 ? [{ key: FIRST_WINDOW_KEY, value: encode({ firstWindow }) }] : [],
      ...removed.map(window => ({ key: keyOf(window) }))
    ])
    if (written.isErr()) return err(written.error)
    for (const { window, counts } of reports) this._entries.set(window, { counts })
    for (const [window] of completions) this._unwritten.delete(window)
    for (const window of removed) this._entries.delete(window)
    this._firstWindow = firstWindow
    return ok(undefined)
  }

  /** Ends the sending of a report. */
  complete (window: number, completion: Completion): void {
    if (!this._entries.has(window)) return
    this._entries.set(window, {})
    this._unwritten.set(window, completion)
  }

  /** The oldest windows, if there are many more than needed and their reports are completed. */
  private _selectRemoved (reports: readonly UsageReport[]): number[] {
    if (this._entries.size < MAX_RECORDS + REMOVAL_BATCH) return []
    const oldest = [...this._entries.keys()].sort((a, b) => a - b).slice(0, REMOVAL_BATCH)
    const firstUnsent = Math.min(...this.unsent().map(({ window }) => window), ...reports.map(({ window }) => window))
    return oldest.filter(window => window < firstUnsent)
  }

  private _restore ({ key, value, offset }: KeyedRecord): void {
    const parsed = usageRecordSchema.safeParse(parseJson(value))
    const window = key.startsWith(REPORT_PREFIX) ? Number(key.slice(REPORT_PREFIX.length)) : undefined
    if (!parsed.success) this._logger.error({ key, offset }, 'usage_record_unreadable')
    if (window === undefined) {
      if (parsed.success && 'firstWindow' in parsed.data) this._firstWindow = parsed.data.firstWindow
      return
    }
    // A window with an unreadable record may have been reported, so it is neither committed nor sent again.
    if (Number.isInteger(window)) this._entries.set(window, parsed.success && 'counts' in parsed.data ? { counts: parsed.data.counts } : {})
  }
}

function keyOf (window: number): string {
  return `${REPORT_PREFIX}${window}`
}

function encode (content: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(content))
}
