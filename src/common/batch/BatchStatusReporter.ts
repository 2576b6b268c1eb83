import type { IFleet } from '../fleet/IFleet.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { EngineTracker } from './run/EngineTracker.js'
import type { IBatchStore } from './IBatchStore.js'

const INTERVAL_MS = 1000

/** Logs the state of the open batches and of the engines once a second while there are batches or runs. */
export class BatchStatusReporter {
  private _loggedAtMs = 0

  constructor (
    private readonly _batches: IBatchStore,
    private readonly _fleet: IFleet,
    private readonly _tracker: EngineTracker,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {}

  /** Logs the state unless it was logged less than a second ago; `running` and `scoring` are numbers of items. */
  logIfDue (running: number, scoring: number, countRunsOn: (engineId: string) => number): void {
    if (performance.now() - this._loggedAtMs < INTERVAL_MS) return
    this._loggedAtMs = performance.now()
    this._metrics.gauge('batch_items_running', running)
    this._metrics.gauge('batch_items_scoring', scoring)
    const openBatches = [...this._batches.all()].filter(batch => batch.isOpen)
    if (openBatches.length === 0 && running === 0) return
    const engines = this._fleet.all().filter(engine => engine.member.versions.size > 0).map(engine => {
      const { id } = engine.member
      const loading = [...engine.member.versions.keys()].filter(model => this._tracker.isLoading(id, model)).map(model => `:loads ${model}`).join('')
      return `${id}:${countRunsOn(id)}:${Math.round(engine.averageMs ?? 0)}ms${engine.isExcluded ? ':avoided' : ''}${loading}`
    })
    const batches = openBatches.map(({ spec, positionsAllocated, items }) => `${spec.id}:step ${spec.step}:${positionsAllocated}/${items.length}`)
    this._logger.info({ open: batches.join(','), running, scoring, engines: engines.join(',') }, 'batch_status')
  }
}
