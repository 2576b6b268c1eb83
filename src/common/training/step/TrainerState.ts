import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { StepRecord } from '../../schema/StepRecord.js'
import type { GroupState } from './GroupState.js'
import { wasDeliveredEarlier } from './wasDeliveredEarlier.js'
import { isGroupComplete } from './isGroupComplete.js'

// Steps whose digests are kept to recognise resubmissions; bounds the head of a snapshot to a few KiB.
const MAX_STEP_DIGESTS = 128

type RecordOf<T extends StepRecord['type']> = Extract<StepRecord, { type: T }>

/** State of one trainer, folded from its records in the `steps` stream. */
export class TrainerState {
  /** Newest weight version that the trainer announced. */
  version = 0
  /** Highest acknowledged cursor. */
  cursor = 0
  /**
   * Offset of the last acknowledgement that removed a reopened group, which was received at a former position. A new
   * cursor is not below it: an entry that has read the log up to the cursor must have read the acknowledgement too,
   * because the cursor alone no longer shows that the group was received.
   */
  minNextCursor = 0
  /** Steps up to this one are not accepted, because their digests are no longer kept. */
  floorStep = -1
  /** Digest of the groups by accepted step above `floorStep`. */
  readonly steps = new Map<number, string>()
  /** Unacknowledged groups by `STEP/GROUP`. */
  readonly groups = new Map<string, GroupState>()

  constructor (readonly organisation: string, readonly trainer: string, private readonly _digest: (groups: GroupSpec[]) => string) {}

  group (step: number, group: string): GroupState | undefined {
    return this.groups.get(`${step}/${group}`)
  }

  /** Groups whose position is above the cursor, in order of position. */
  positionedGroupsAbove (cursor: number): GroupState[] {
    return [...this.groups.values()]
      .filter((group) => group.position !== undefined && group.position > cursor)
      .sort((a, b) => (a.position ?? 0) - (b.position ?? 0))
  }

  apply (record: StepRecord, offset: number): void {
    switch (record.type) {
      case 'submit': return this._submit(record)
      case 'sample': return this._sample(record, offset)
      case 'expire': return this._expire(record, offset)
      case 'hold': return this._hold(record.cursor, offset)
      case 'place': return this._place(record, offset)
      case 'ack': return this._acknowledge(record.cursor, offset)
      case 'weights':
        this.version = Math.max(this.version, record.version)
    }
  }

  /** Takes over the state of a snapshot. */
  restore (head: RecordOf<'carry'>, groups: RecordOf<'carry_group'>[]): void {
    this.version = head.version
    this.cursor = head.cursor
    this.minNextCursor = head.min_next_cursor
    this.floorStep = head.floor_step
    for (const { step, digest } of head.steps) {
      this.steps.set(step, digest)
    }
    for (const group of groups) {
      const samples = new Array<GroupState['samples'][number]>(group.spec.samples).fill(undefined)
      for (const sample of group.samples) {
        samples[sample.index] = sample
      }
      const { step, spec, position, attempts } = group
      const formerPositions = group.past.map((range) => ({ ...range }))
      this.groups.set(`${step}/${spec.group}`, { step, spec, submittedAtMs: group.submitted_at_ms, position, formerPositions, attempts: [...attempts], samples })
    }
  }

  private _submit (record: RecordOf<'submit'>): void {
    if (record.step <= this.floorStep || this.steps.has(record.step)) return
    this.steps.set(record.step, this._digest(record.groups))
    for (const spec of record.groups) {
      this.groups.set(`${record.step}/${spec.group}`, {
        step: record.step,
        spec,
        submittedAtMs: record.at_ms,
        position: undefined,
        formerPositions: [],
        attempts: new Array<number>(spec.samples).fill(0),
        samples: new Array<undefined>(spec.samples).fill(undefined)
      })
    }
    if (this.steps.size > MAX_STEP_DIGESTS) {
      this.floorStep = Math.min(...this.steps.keys())
      this.steps.delete(this.floorStep)
    }
  }

  private _sample (record: RecordOf<'sample'>, offset: number): void {
    const group = this.group(record.step, record.group)
    const { index, attempt } = record.sample
    if (group === undefined || group.attempts[index] !== attempt || group.samples[index] !== undefined) return
    group.samples[index] = record.sample
    if (isGroupComplete(group)) {
      group.position = offset
    }
  }

  private _expire (record: RecordOf<'expire'>, offset: number): void {
    const group = this.group(record.step, record.group)
    if (group === undefined || group.attempts[record.index] !== record.attempt || group.samples[record.index] === undefined) return
    group.samples[record.index] = undefined
    group.attempts[record.index] = record.attempt + 1
    this._endPosition(group, offset)
  }

  private _hold (cursor: number, offset: number): void {
    for (const group of this.positionedGroupsAbove(cursor)) {
      this._endPosition(group, offset)
    }
  }

  private _place (record: RecordOf<'place'>, offset: number): void {
    const group = this.group(record.step, record.group)
    if (group !== undefined && isGroupComplete(group) && group.position === undefined) {
      group.position = offset
    }
  }

  private _endPosition (group: GroupState, offset: number): void {
    if (group.position === undefined) return
    group.formerPositions.push({ from: group.position, to: offset })
    group.position = undefined
  }

  private _acknowledge (cursor: number, offset: number): void {
    this.cursor = Math.max(this.cursor, cursor)
    for (const [key, group] of this.groups) {
      const isDelivered = group.position !== undefined && group.position <= cursor
      const wasDelivered = wasDeliveredEarlier(group, cursor)
      if (isDelivered || wasDelivered) {
        this.groups.delete(key)
      }
      if (wasDelivered) this.minNextCursor = offset
    }
  }
}
