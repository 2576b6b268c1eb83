import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogFold } from '../log/ILogFold.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { ContractRecord } from '../schema/ContractRecord.js'
import { contractRecordSchema } from '../schema/contractRecordSchema.js'
import type { ContractDecision } from './ContractDecision.js'
import type { ContractRevision } from './ContractRevision.js'
import type { ContractState } from './ContractState.js'
import { mergeRevisions } from './mergeRevisions.js'
import { parseContract } from './parseContract.js'

type Publish = Extract<ContractRecord, { type: 'publish' }>
type Snapshot = Extract<ContractRecord, { type: 'snapshot' }>
interface LoggedPublish { offset: number, timeMs: number, record: Publish }

const MAX_DECISIONS = 1000
// All organisations together make 760 changes a day; bounds memory if a client publishes in a loop.
const MAX_BUFFERED_PUBLISHES = 2000

/**
 * Fold of the `contracts` stream. After a retention gap the state of an organisation is inexact: publishes are
 * decided from the known records and also buffered. A snapshot that was taken at a log position after the gap
 * makes the state exact again, by replaying the buffered publishes from that position on.
 */
export class ContractFold extends Disposable implements ILogFold {
  private readonly _onChange = this._register(new Emitter<string>())
  /** Fires with the organisation whose current revision has changed. */
  readonly onChange = this._onChange.event
  private readonly _states = new Map<string, ContractState>()
  private readonly _decisions = new Map<string, ContractDecision>()
  /** Publishes of inexact states, to be replayed on top of a snapshot. */
  private _bufferedPublishes: LoggedPublish[] = []
  /** Offset of the earliest record that was available after the last gap. */
  private _earliestOffset = 0
  /** Log time from which the first publish of an organisation shows that it had no contract before. */
  private _newOrganisationFromMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _retentionMs: number, private readonly _logger: ILogger) {
    super()
  }

  state (organisation: string): ContractState | undefined {
    return this._states.get(organisation)
  }

  organisations (): string[] {
    return [...this._states.keys()]
  }

  decision (recordId: string): ContractDecision | undefined {
    return this._decisions.get(recordId)
  }

  apply (entry: LogEntry): void {
    const parsed = contractRecordSchema.safeParse(entry.value)
    if (!parsed.success) {
      this._logger.warn({ stream: 'contracts', offset: entry.offset }, 'contract_record_malformed')
      return
    }
    if (parsed.data.type === 'publish') {
      this._applyPublish({ offset: entry.offset, timeMs: entry.timeMs, record: parsed.data })
    } else {
      this._applySnapshot(entry, parsed.data)
    }
  }

  onGap (earliestOffset: number): void {
    this._earliestOffset = earliestOffset
    // Lost records are older than the retention, and existing contracts are renewed after a third of it.
    this._newOrganisationFromMs = Date.now() - this._retentionMs / 2
    this._bufferedPublishes = []
    for (const state of this._states.values()) state.isExact = false
  }

  private _applyPublish (publish: LoggedPublish): void {
    const { organisation, id } = publish.record
    const state = this._states.get(organisation)
    if (this._earliestOffset > 0 && state?.isExact !== true) this._buffer(publish)
    const decision = this._decide(publish, state)
    this._recordDecision(id, decision)
    this._logger.info({ organisation, record: id, offset: publish.offset, ...decision }, 'contract_decided')
    if (decision.kind === 'accepted') this._onChange.fire(organisation)
  }

  /** Decides a publish against a state and stores the new state when it is accepted. */
  private _decide (publish: LoggedPublish, state: ContractState | undefined): ContractDecision {
    const { organisation, text, operator, base_revision: baseRevision } = publish.record
    const contract = parseContract(organisation, text)
    if (contract.isErr()) {
      const [error] = contract.error
      return { kind: 'invalid', field: error?.field ?? 'contract', rule: error?.rule ?? 'invalid' }
    }
    const current = currentRevision(state)
    if (baseRevision !== current) return { kind: 'conflict', currentRevision: current }
    const otherOwner = this._findOtherTokenOwner(organisation, contract.value.access.token_sha256)
    if (otherOwner !== undefined) {
      return { kind: 'invalid', field: 'access.token_sha256', rule: 'a listed token already belongs to another organisation' }
    }
    const revision = current + 1
    const accepted = { organisation, revision, operator, atMs: publish.timeMs, text, contract: contract.value }
    const isNewOrganisation = state === undefined && publish.timeMs >= this._newOrganisationFromMs
    this._states.set(organisation, {
      revisions: mergeRevisions([accepted], state?.revisions ?? []),
      isExact: state?.isExact ?? isNewOrganisation,
      lastRecordAtMs: publish.timeMs
    })
    return { kind: 'accepted', revision }
  }

  private _applySnapshot (entry: LogEntry, record: Snapshot): void {
    const { organisation } = record
    const revisions = this._readRevisions(record)
    const newest = revisions.at(-1)
    if (newest === undefined) return
    const state = this._states.get(organisation)
    const known = state?.revisions.at(-1)
    const isTakenAfterGap = record.read_offset !== undefined && record.read_offset >= this._earliestOffset
    if (state?.isExact !== true && isTakenAfterGap) {
      this._restoreSnapshot(entry, record, revisions)
    } else if (state === undefined || newest.revision > currentRevision(state)) {
      this._applyHigherSnapshot(entry, organisation, revisions)
    } else {
      this._mergeHistory(entry, state, revisions)
    }
    if (this._states.get(organisation)?.revisions.at(-1) !== known) this._onChange.fire(organisation)
  }

  private _applyHigherSnapshot (entry: LogEntry, organisation: string, revisions: ContractRevision[]): void {
    const state = this._states.get(organisation)
    this._states.set(organisation, {
      revisions: mergeRevisions(revisions, state?.revisions ?? []),
      isExact: state?.isExact ?? false,
      lastRecordAtMs: entry.timeMs
    })
  }

  /** Adds the history of a snapshot without a higher revision, which renews the current revision if it contains it. */
  private _mergeHistory (entry: LogEntry, state: ContractState, revisions: ContractRevision[]): void {
    const newest = revisions.at(-1)
    const known = state.revisions.at(-1)
    if (newest?.revision === known?.revision && newest?.text === known?.text) state.lastRecordAtMs = entry.timeMs
    state.revisions = mergeRevisions(state.revisions, revisions)
  }

  /** Restores the state from a snapshot taken after the gap, and replays the publishes that followed its position. */
  private _restoreSnapshot (entry: LogEntry, record: Snapshot, revisions: ContractRevision[]): void {
    const { organisation } = record
    const before = this._states.get(organisation)
    this._states.set(organisation, { revisions, isExact: true, lastRecordAtMs: entry.timeMs })
    const later = this._bufferedPublishes.filter(item => item.record.organisation === organisation && item.offset >= (record.read_offset ?? 0))
    for (const item of later) this._recordDecision(item.record.id, this._decide(item, this._states.get(organisation)))
    this._bufferedPublishes = this._bufferedPublishes.filter(item => item.record.organisation !== organisation)
    const after = this._states.get(organisation)
    if (before === undefined || after === undefined) return
    if (currentRevision(after) < currentRevision(before)) {
      this._states.set(organisation, before)
    } else {
      after.revisions = mergeRevisions(after.revisions, before.revisions)
    }
  }

  /** Valid revisions of a snapshot; none when its newest revision is invalid. */
  private _readRevisions (record: Snapshot): ContractRevision[] {
    const revisions: ContractRevision[] = []
    for (const { revision, operator, at_ms: atMs, text } of record.revisions) {
      const contract = parseContract(record.organisation, text)
      if (contract.isOk()) revisions.push({ organisation: record.organisation, revision, operator, atMs, text, contract: contract.value })
    }
    return revisions.at(-1)?.revision === record.revisions.at(-1)?.revision ? revisions : []
  }

  private _findOtherTokenOwner (organisation: string, digests: string[]): string | undefined {
    for (const [other, state] of this._states) {
      const owned = state.revisions.at(-1)?.contract.access.token_sha256 ?? []
      if (other !== organisation && digests.some(digest => owned.includes(digest))) return other
    }
    return undefined
  }

  private _buffer (publish: LoggedPublish): void {
    this._bufferedPublishes.push(publish)
    if (this._bufferedPublishes.length > MAX_BUFFERED_PUBLISHES) this._bufferedPublishes.shift()
  }

  private _recordDecision (recordId: string, decision: ContractDecision): void {
    this._decisions.set(recordId, decision)
    if (this._decisions.size <= MAX_DECISIONS) return
    const [oldest] = this._decisions.keys()
    if (oldest !== undefined) this._decisions.delete(oldest)
  }
}

function currentRevision (state: ContractState | undefined): number {
  return state?.revisions.at(-1)?.revision ?? 0
}
