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

type CarryHead = Extract<StepRecord, { type: 'carry' }>
type CarryGroup = Extract<StepRecord, { type: 'carry_group' }>
type TrainerRecord = Exclude<StepRecord, { type: 'want' }>

interface TrainerSlot {
  state: TrainerState
  isComplete: boolean
  /** Records read while the state is incomplete; replayed on a carried state. */
  buffer: { offset: number, record: StepRecord }[]
  /** Carried states whose groups have not all been read. */
  sets: Map<string, { head: CarryHead, timeMs: number, groups: CarryGroup[] }>
  neededSinceMs: number
  snapshotOffset: number
}

/** Fold of the `steps` stream. */
export class StepTable extends Disposable implements IStepTable {
  private readonly _change = this._register(new Emitter<{ organisation: string, trainer: string }>())
  private readonly _want = this._register(new Emitter<number>())
  private readonly _trainers = new Map<string, TrainerSlot>()
  private _knownFrom = 0
  private _nextOffset = 0
  private _isGapped = false
  readonly onChange = this._change.event
  readonly onSnapshotRequest = this._want.event

  constructor (@hashId private readonly _hash: IHash, @logHubId hub: ILogHub) {
    super()
    hub.addFold('steps', this)
  }

  get nextOffset (): number {
    return this._nextOffset
  }

  get hasGap (): boolean {
    return this._isGapped
  }

  isComplete (organisation: string, trainer: string): boolean {
    return this._trainers.get(`${organisation}/${trainer}`)?.isComplete ?? !this._isGapped
  }

  get (organisation: string, trainer: string): TrainerState | undefined {
    const slot = this._trainers.get(`${organisation}/${trainer}`)
    return slot?.isComplete === true ? slot.state : undefined
  }

  all (): { state: TrainerState, neededSinceMs: number, snapshotOffset: number }[] {
    return [...this._trainers.values()].filter((slot) => slot.isComplete)
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
      this._want.fire(entry.offset)
      return
    }
    const slot = this._slot(record, entry.timeMs)
    if (record.type === 'carry' || record.type === 'carry_group') {
      this._carry(slot, record, entry.timeMs)
    } else if (slot.isComplete) {
      slot.state.apply(record, entry.offset)
    } else {
      slot.buffer.push({ offset: entry.offset, record })
    }
    this._change.fire({ organisation: record.organisation, trainer: record.trainer })
  }

  onGap (earliestOffset: number): void {
    this._knownFrom = earliestOffset
    this._nextOffset = Math.max(this._nextOffset, earliestOffset)
    this._isGapped = true
    this._trainers.clear()
  }

  declareComplete (): void {
    this._isGapped = false
    for (const slot of this._trainers.values()) {
      if (!slot.isComplete) {
        this._complete(slot, this._knownFrom)
      }
    }
  }

  private _slot (record: TrainerRecord, timeMs: number): TrainerSlot {
    const key = `${record.organisation}/${record.trainer}`
    const known = this._trainers.get(key)
    if (known !== undefined) return known
    const state = new TrainerState(record.organisation, record.trainer, (groups) => this.digest(groups))
    const slot = { state, isComplete: !this._isGapped, buffer: [], sets: new Map(), neededSinceMs: timeMs, carriedAsOf: -1 }
    this._trainers.set(key, slot)
    return slot
  }

  private _carry (slot: TrainerSlot, record: CarryHead | CarryGroup, timeMs: number): void {
    if (record.type === 'carry') {
      slot.sets.set(record.set, { head: record, timeMs, groups: [] })
    } else {
      slot.sets.get(record.set)?.groups.push(record)
    }
    const set = slot.sets.get(record.set)
    if (set === undefined || set.groups.length < set.head.groups) return
    slot.sets.delete(record.set)
    // A state from before the gap cannot be brought forward: records that changed it are lost.
    if (set.head.as_of < this._knownFrom) return
    // Sets whose writer died stay partial; a whole set makes them needless.
    slot.sets.clear()
    slot.neededSinceMs = Math.max(slot.neededSinceMs, set.timeMs)
    slot.snapshotOffset = Math.max(slot.snapshotOffset, set.head.as_of)
    if (slot.isComplete) return
    slot.state.restore(set.head, set.groups)
    this._complete(slot, set.head.as_of)
  }

  private _complete (slot: TrainerSlot, fromOffset: number): void {
    for (const { offset, record } of slot.buffer) {
      if (offset >= fromOffset) {
        slot.state.apply(record, offset)
      }
    }
    slot.buffer = []
    slot.isComplete = true
    this._change.fire({ organisation: slot.state.organisation, trainer: slot.state.trainer })
  }
}
