import { hashId } from '../../hash/hashId.js'
import type { IHash } from '../../hash/IHash.js'
import { Disposable } from '../../kernel/Disposable.js'
import { Emitter } from '../../kernel/Emitter.js'
import type { ILogHub } from '../../log/ILogHub.js'
import type { LogEntry } from '../../log/LogEntry.js'
import { logHubId } from '../../log/logHubId.js'
import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { StepRecord } from '../../schema/StepRecord.js'
import { stepRecordSchema } from '../../schema/stepRecordSchema.js'
import type { IStepTable } from './IStepTable.js'
import { TrainerState } from './TrainerState.js'

type SnapshotHead = Extract<StepRecord, { type: 'carry' }>
type SnapshotGroup = Extract<StepRecord, { type: 'carry_group' }>
type TrainerRecord = Exclude<StepRecord, { type: 'want' }>

interface TrackedTrainer {
  state: TrainerState
  isComplete: boolean
  /** Records read while the state is incomplete; replayed on top of a snapshot. */
  bufferedRecords: { offset: number, record: StepRecord }[]
  /** Snapshots by id whose `carry_group` records have not all been read. */
  partialSnapshots: Map<string, { head: SnapshotHead, timeMs: number, groups: SnapshotGroup[] }>
  /** See `IStepTable.all`, as for `snapshotOffset`. */
  neededSinceMs: number
  snapshotOffset: number
}

/** Fold of the `steps` stream by trainer. */
export class StepTable extends Disposable implements IStepTable {
  private readonly _onChange = this._register(new Emitter<{ organisation: string, trainer: string }>())
  private readonly _onSnapshotRequest = this._register(new Emitter<number>())
  private readonly _trainers = new Map<string, TrackedTrainer>()
  /** Offset of the earliest record that was available after the last gap. */
  private _earliestOffset = 0
  private _nextOffset = 0
  private _hasGap = false
  readonly onChange = this._onChange.event
  readonly onSnapshotRequest = this._onSnapshotRequest.event

  constructor (@hashId private readonly _hash: IHash, @logHubId hub: ILogHub) {
    super()
    hub.addFold('steps', this)
  }

  get nextOffset (): number {
    return this._nextOffset
  }

  get hasGap (): boolean {
    return this._hasGap
  }

  isComplete (organisation: string, trainer: string): boolean {
    return this._trainers.get(`${organisation}/${trainer}`)?.isComplete ?? !this._hasGap
  }

  get (organisation: string, trainer: string): TrainerState | undefined {
    const tracked = this._trainers.get(`${organisation}/${trainer}`)
    return tracked?.isComplete === true ? tracked.state : undefined
  }

  all (): { state: TrainerState, neededSinceMs: number, snapshotOffset: number }[] {
    return [...this._trainers.values()].filter((tracked) => tracked.isComplete)
  }

  digest (groups: GroupSpec[]): string {
    const parts = groups.map(({ group, prompt, samples, max_tokens: maxTokens }) => [group, prompt, samples, maxTokens])
    return this._hash.hash64(JSON.stringify(parts)).toString(16)
  }

  apply (entry: LogEntry): void {
    this._nextOffset = entry.offset + 1
    const parsed = stepRecordSchema.safeParse(entry.value)
    if (!parsed.success) return
    const record = parsed.data
    if (record.type === 'want') {
      this._onSnapshotRequest.fire(entry.offset)
      return
    }
    const tracked = this._getOrCreate(record, entry.timeMs)
    if (record.type === 'carry' || record.type === 'carry_group') {
      this._applySnapshotRecord(tracked, record, entry.timeMs)
    } else if (tracked.isComplete) {
      tracked.state.apply(record, entry.offset)
    } else {
      tracked.bufferedRecords.push({ offset: entry.offset, record })
    }
    this._onChange.fire({ organisation: record.organisation, trainer: record.trainer })
  }

  onGap (earliestOffset: number): void {
    this._earliestOffset = earliestOffset
    this._nextOffset = Math.max(this._nextOffset, earliestOffset)
    this._hasGap = true
    this._trainers.clear()
  }

  declareComplete (): void {
    this._hasGap = false
    for (const tracked of this._trainers.values()) {
      if (!tracked.isComplete) {
        this._completeState(tracked, this._earliestOffset)
      }
    }
  }

  private _getOrCreate (record: TrainerRecord, timeMs: number): TrackedTrainer {
    const key = `${record.organisation}/${record.trainer}`
    const known = this._trainers.get(key)
    if (known !== undefined) return known
    const state = new TrainerState(record.organisation, record.trainer, (groups) => this.digest(groups))
    const tracked = { state, isComplete: !this._hasGap, bufferedRecords: [], partialSnapshots: new Map(), neededSinceMs: timeMs, snapshotOffset: -1 }
    this._trainers.set(key, tracked)
    return tracked
  }

  private _applySnapshotRecord (tracked: TrackedTrainer, record: SnapshotHead | SnapshotGroup, timeMs: number): void {
    if (record.type === 'carry') {
      tracked.partialSnapshots.set(record.set, { head: record, timeMs, groups: [] })
    } else {
      tracked.partialSnapshots.get(record.set)?.groups.push(record)
    }
    const snapshot = tracked.partialSnapshots.get(record.set)
    if (snapshot === undefined || snapshot.groups.length < snapshot.head.groups) return
    tracked.partialSnapshots.delete(record.set)
    // A snapshot from before the gap is unusable: records that changed the state since then are lost.
    if (snapshot.head.as_of < this._earliestOffset) return
    // Snapshots whose writer failed stay partial; a complete snapshot makes them obsolete.
    tracked.partialSnapshots.clear()
    tracked.neededSinceMs = Math.max(tracked.neededSinceMs, snapshot.timeMs)
    tracked.snapshotOffset = Math.max(tracked.snapshotOffset, snapshot.head.as_of)
    if (tracked.isComplete) return
    tracked.state.restore(snapshot.head, snapshot.groups)
    this._completeState(tracked, snapshot.head.as_of)
  }

  private _completeState (tracked: TrackedTrainer, fromOffset: number): void {
    for (const { offset, record } of tracked.bufferedRecords) {
      if (offset >= fromOffset) {
        tracked.state.apply(record, offset)
      }
    }
    tracked.bufferedRecords = []
    tracked.isComplete = true
    this._onChange.fire({ organisation: tracked.state.organisation, trainer: tracked.state.trainer })
  }
}
