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
interface SeenPublish { offset: number, timeMs: number, record: Publish }

const MAX_DECISIONS = 1000
// 760 changes a day of all organisations; bounds memory if a client publishes in a loop.
const MAX_SEEN_PUBLISHES = 2000

/**
 * Fold of the `contracts` stream. After a retention gap an organisation's state is inexact: publishes are
 * decided as well as the known records allow, and kept. A snapshot that states the position at which
 * it was true makes the state exact again by replaying the publishes after that position.
 */
export class ContractFold extends Disposable implements ILogFold {
  private readonly _onChange = this._register(new Emitter<string>())
  /** Fires with the organisation whose state has changed. */
  readonly onChange = this._onChange.event
  private readonly _states = new Map<string, ContractState>()
  private readonly _decisions = new Map<string, ContractDecision>()
  private _seen: SeenPublish[] = []
  private _coveredFromOffset = 0
  /** Log time from which a first publish proves that the organisation had no contract before. */
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
    this._coveredFromOffset = earliestOffset
    // Lost records are older than retention, and existing contracts are renewed after a third of it.
    this._newOrganisationFromMs = Date.now() - this._retentionMs / 2
    this._seen = []
    for (const state of this._states.values()) state.isExact = false
  }

  private _applyPublish (publish: SeenPublish): void {
    const { organisation, id } = publish.record
    const state = this._states.get(organisation)
    if (this._coveredFromOffset > 0 && state?.isExact !== true) this._remember(publish)
    const decision = this._decide(publish, state)
    this._recordDecision(id, decision)
    this._logger.info({ organisation, record: id, offset: publish.offset, ...decision }, 'contract_decided')
    if (decision.kind === 'accepted') this._onChange.fire(organisation)
  }

  /** Decides a publish against a state and stores the new state when it is accepted. */
  private _decide (publish: SeenPublish, state: ContractState | undefined): ContractDecision {
    const { organisation, text, operator, base_revision: baseRevision } = publish.record
    const contract = parseContract(organisation, text)
    if (contract.isErr()) {
      const [error] = contract.error
      return { kind: 'invalid', field: error?.field ?? 'contract', rule: error?.rule ?? 'invalid' }
    }
    const current = currentRevision(state)
    if (baseRevision !== current) return { kind: 'conflict', currentRevision: current }
    const owner = this._otherOwner(organisation, contract.value.access.token_sha256)
    if (owner !== undefined) {
      return { kind: 'invalid', field: 'access.token_sha256', rule: 'a token belongs to another organisation already' }
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
    const isTrueHere = record.read_offset !== undefined && record.read_offset >= this._coveredFromOffset
    if (state?.isExact !== true && isTrueHere) {
      this._adopt(entry, record, revisions)
    } else if (state === undefined || newest.revision > currentRevision(state)) {
      this._raise(entry, organisation, revisions)
    } else {
      this._merge(entry, state, revisions)
    }
    if (this._states.get(organisation)?.revisions.at(-1) !== known) this._onChange.fire(organisation)
  }

  private _raise (entry: LogEntry, organisation: string, revisions: ContractRevision[]): void {
    const state = this._states.get(organisation)
    this._states.set(organisation, {
      revisions: mergeRevisions(revisions, state?.revisions ?? []),
      isExact: state?.isExact ?? false,
      lastRecordAtMs: entry.timeMs
    })
  }

  /** A snapshot that is not newer only adds history, and keeps the current revision if it holds it. */
  private _merge (entry: LogEntry, state: ContractState, revisions: ContractRevision[]): void {
    const newest = revisions.at(-1)
    const known = state.revisions.at(-1)
    if (newest?.revision === known?.revision && newest?.text === known?.text) state.lastRecordAtMs = entry.timeMs
    state.revisions = mergeRevisions(state.revisions, revisions)
  }

  /** Takes a snapshot that was true at a position within the covered records, and replays what follows. */
  private _adopt (entry: LogEntry, record: Snapshot, revisions: ContractRevision[]): void {
    const { organisation } = record
    const before = this._states.get(organisation)
    this._states.set(organisation, { revisions, isExact: true, lastRecordAtMs: entry.timeMs })
    const later = this._seen.filter(item => item.record.organisation === organisation && item.offset >= (record.read_offset ?? 0))
    for (const item of later) this._recordDecision(item.record.id, this._decide(item, this._states.get(organisation)))
    this._seen = this._seen.filter(item => item.record.organisation !== organisation)
    const after = this._states.get(organisation)
    if (before === undefined || after === undefined) return
    if (currentRevision(after) < currentRevision(before)) {
      this._states.set(organisation, before)
    } else {
      after.revisions = mergeRevisions(after.revisions, before.revisions)
    }
  }

  /** Revisions of a snapshot that parse; none when its newest one does not. */
  private _readRevisions (record: Snapshot): ContractRevision[] {
    const revisions: ContractRevision[] = []
    for (const { revision, operator, at_ms: atMs, text } of record.revisions) {
      const contract = parseContract(record.organisation, text)
      if (contract.isOk()) revisions.push({ organisation: record.organisation, revision, operator, atMs, text, contract: contract.value })
    }
    return revisions.at(-1)?.revision === record.revisions.at(-1)?.revision ? revisions : []
  }

  private _otherOwner (organisation: string, digests: string[]): string | undefined {
    for (const [other, state] of this._states) {
      const owned = state.revisions.at(-1)?.contract.access.token_sha256 ?? []
      if (other !== organisation && digests.some(digest => owned.includes(digest))) return other
    }
    return undefined
  }

  private _remember (publish: SeenPublish): void {
    this._seen.push(publish)
    if (this._seen.length > MAX_SEEN_PUBLISHES) this._seen.shift()
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
