import type { EngineView } from '../../run/EngineView.js'
import type { ItemState } from '../../record/ItemState.js'
import type { ModelStep } from './IClusterPolicy.js'

const EVENT_MS = 45
const SLOWDOWN_PER_RUN = 0.02
const PROMPT_MS = 3
const SLOW_FACTOR = 3
/** Time constant of the average of event intervals, as in `FleetUpstream`. */
const AVERAGE_TIME_CONSTANT_MS = 1200
const KV_CAPACITY_TOKENS = 60_000

/** A run at an engine of the model; `untilNextMs` is the time to its next event at speed 1. */
export interface ModelRun { step: ModelStep, state: ItemState, startedAtMs: number, untilNextMs: number, totalEvents: number }

/** An engine of the cluster model. */
export class ModelEngine {
  readonly runs: ModelRun[] = []
  readonly versions = new Map<string, number>()
  readonly cachedGroups = new Set<string>()
  load?: { model: string, version: number, endsAtMs: number }
  averageMs?: number
  slowUntilMs = 0
  downUntilMs = 0
  isDraining = false

  constructor (readonly id: string, readonly speed: number, readonly slots: number) {}

  isUp (nowMs: number): boolean {
    return nowMs >= this.downUntilMs && !this.isDraining
  }

  view (model: string, meanIntervalMs: number, reservedKvTokens: number): EngineView {
    return {
      id: this.id,
      version: this.versions.get(model) ?? 0,
      freeSlots: this.slots - this.runs.length,
      running: this.runs.length,
      eventIntervalMs: this.averageMs ?? meanIntervalMs,
      kvCapacityTokens: KV_CAPACITY_TOKENS,
      kvFreeTokens: KV_CAPACITY_TOKENS - reservedKvTokens,
      isExcluded: false,
      isLoading: this.load?.model === model
    }
  }

  start (step: ModelStep, state: ItemState, totalEvents: number, nowMs: number): void {
    state.status = 'running'
    const isCached = this.cachedGroups.has(state.item.group)
    this.cachedGroups.add(state.item.group)
    this.runs.push({ step, state, startedAtMs: nowMs, untilNextMs: EVENT_MS + (isCached ? 0 : PROMPT_MS), totalEvents })
  }

  stop (run: ModelRun): void {
    this.runs.splice(this.runs.indexOf(run), 1)
    if (run.state.status === 'running') run.state.status = 'waiting'
  }

  /** Generates events for `stepMs` and returns the runs that are complete. */
  advance (nowMs: number, stepMs: number): ModelRun[] {
    const slowdown = (1 + SLOWDOWN_PER_RUN * Math.max(0, this.runs.length - 1)) * (nowMs < this.slowUntilMs ? SLOW_FACTOR : 1) / this.speed
    const active = this.runs.filter(run => run.step.batch.spec.model !== this.load?.model)
    for (const run of active) {
      run.untilNextMs -= stepMs / slowdown
      if (run.untilNextMs > 0) continue
      run.untilNextMs += EVENT_MS
      run.state.progress.events.push('')
      const version = this.versions.get(run.step.batch.spec.model) ?? 0
      if (!run.state.progress.versions.includes(version)) run.state.progress.versions.push(version)
    }
    const weight = Math.min(0.3, stepMs / AVERAGE_TIME_CONSTANT_MS)
    if (active.length > 0) this.averageMs = this.averageMs === undefined ? EVENT_MS * slowdown : this.averageMs + weight * (EVENT_MS * slowdown - this.averageMs)
    return active.filter(run => run.state.progress.events.length >= run.totalEvents)
  }
}
