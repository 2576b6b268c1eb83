import { SharedBudget } from '../../kernel/SharedBudget.js'
import type { ItemState } from '../record/ItemState.js'
import type { ItemRun } from './ItemRun.js'

/** Leaves most of the memory of a small host to items and results. */
const MAX_OUTPUT_BYTES = 32_000_000

/** The runs in flight, at most one of each item. */
export class RunTable {
  /** Memory that the output of all runs shares. */
  readonly outputBudget = new SharedBudget(MAX_OUTPUT_BYTES)
  private readonly _byState = new Map<ItemState, ItemRun>()

  get byState (): ReadonlyMap<ItemState, ItemRun> {
    return this._byState
  }

  get size (): number {
    return this._byState.size
  }

  add (run: ItemRun): void {
    this._byState.set(run.state, run)
  }

  remove (run: ItemRun): void {
    this._byState.delete(run.state)
  }

  /** The run of an item; undefined if it does not run. */
  of (state: ItemState): ItemRun | undefined {
    return this._byState.get(state)
  }

  all (): ItemRun[] {
    return [...this._byState.values()]
  }

  /** Number of runs at an engine, of one model or of all models. */
  countOn (engineId: string, model?: string): number {
    return this._count(run => isOn(run, engineId, model))
  }

  /** Number of runs at an engine whose output a version change would make worthless. */
  countSingleVersionOn (engineId: string, model: string): number {
    return this._count(run => run.route.isSingleVersion && !run.isCancelled && isOn(run, engineId, model))
  }

  /** Bodies of all runs whose engines have not responded, in bytes. */
  unansweredBytes (): number {
    let bytes = 0
    for (const run of this._byState.values()) if (run.respondedAfterMs === undefined) bytes += run.state.bodyBytes
    return bytes
  }

  cancelAll (reason: string): void {
    for (const run of this.all()) run.cancel(reason)
  }

  private _count (matches: (run: ItemRun) => boolean): number {
    let count = 0
    for (const run of this._byState.values()) if (matches(run)) count += 1
    return count
  }
}

function isOn (run: ItemRun, engineId: string, model?: string): boolean {
  return run.engine.member.id === engineId && (model === undefined || run.batch.spec.model === model)
}
