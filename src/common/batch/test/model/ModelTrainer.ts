import type { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Batch } from '../../Batch.js'
import { createSpec } from '../createSpec.js'
import type { TrainerLoad } from './ClusterScenario.js'
import { createGroup } from './createGroup.js'
import type { ModelStep } from './IClusterPolicy.js'

const STEP_MS = 4000
const DEADLINE_MS = 7500
const GIVE_UP_MS = 12_000
/** Time from the announcement of a version to the step that needs its predecessor. */
const ANNOUNCE_MS = 300
const WANTED_SHARE = 0.9

type ModelGroup = ReturnType<typeof createGroup>

/** A trainer of the model: one open step at a time; incomplete groups come again, first in the next one. */
export class ModelTrainer {
  step?: ModelStep
  announcedVersion = 1
  inTime = 0
  late = 0
  private _number = 1
  private _submitAtMs = 1000
  private _submittedAtMs = 0
  private _groups: ModelGroup[] = []
  private readonly _completeGroups = new Set<string>()

  constructor (readonly load: TrainerLoad, private readonly _random: ReturnType<typeof xoroshiro128plus>) {}

  /** Submits the next step if it is due. */
  submitIfDue (nowMs: number, eventsByItem: Map<string, number>): ModelStep | undefined {
    if (!this.load.acceptsAnyVersion && nowMs >= this._submitAtMs - ANNOUNCE_MS) this.announcedVersion = this._number
    if (this.step !== undefined || nowMs < this._submitAtMs) return undefined
    const { name, model, groups } = this.load
    const resubmitted = this._groups
    this._groups = [...resubmitted]
    while (this._groups.length < groups) this._groups.push(createGroup(`${name}-${this._number}-${this._groups.length}`, this.load, this._random))
    const items = this._groups.flat()
    for (const { item, events } of items) eventsByItem.set(item.id, events)
    const minVersion = this.load.acceptsAnyVersion === true ? 1 : Math.max(1, this._number - 1)
    const batch = new Batch(createSpec({
      id: `${name}-${this._number}`, model, step: this._number, minVersion, organisation: this.load.organisation, priority: this.load.priority, groupsWanted: Math.floor(groups * WANTED_SHARE), itemCount: items.length, submittedAtMs: nowMs
    }), items.map(({ item }) => item))
    for (const [first] of resubmitted) if (first !== undefined) batch.resubmittedGroups.add(first.item.group)
    this._completeGroups.clear()
    this._submittedAtMs = nowMs
    this._number += 1
    this.step = { batch, priority: this.load.priority ?? 0, deadlineAtMs: nowMs + DEADLINE_MS, engines: [] }
    return this.step
  }

  /** Counts the groups that have become complete; returns the step if the trainer ends it now. */
  read (nowMs: number): ModelStep | undefined {
    if (this.step === undefined) return undefined
    const { batch } = this.step
    const elapsedMs = nowMs - this._submittedAtMs
    for (const [group, items] of batch.itemsByGroup) {
      if (this._completeGroups.has(group) || items.some(({ status }) => status !== 'finished')) continue
      this._completeGroups.add(group)
      if (elapsedMs <= DEADLINE_MS) this.inTime += 1
      else this.late += 1
    }
    const isDone = this._completeGroups.size >= batch.spec.groupsWanted && [...batch.resubmittedGroups].every(group => this._completeGroups.has(group))
    if (!isDone && elapsedMs < GIVE_UP_MS) return undefined
    const ended = this.step
    this._groups = this._groups.filter(([first]) => first !== undefined && !this._completeGroups.has(first.item.group))
    this._submitAtMs = Math.max(nowMs + ANNOUNCE_MS, this._submittedAtMs + STEP_MS)
    this.step = undefined
    return ended
  }

  /** Groups in time and late, as shares of those that a trainer without waiting would have read by then. */
  shares (durationMs: number): { inTime: number, late: number } {
    const wanted = Math.floor((durationMs - GIVE_UP_MS) / STEP_MS) * Math.floor(this.load.groups * WANTED_SHARE)
    return { inTime: Math.min(1, this.inTime / wanted), late: this.late / wanted }
  }
}
