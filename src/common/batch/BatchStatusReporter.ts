import type { IFleet } from '../fleet/IFleet.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { EngineTracker } from './run/EngineTracker.js'
import type { IBatchStore } from './IBatchStore.js'

const INTERVAL_MS = 1000

/** One line a second on the open batches and the engines, while there is work. */
export class BatchStatusReporter {
  private _writtenAtMs = 0

  constructor (
    private readonly _batches: IBatchStore,
    private readonly _fleet: IFleet,
    private readonly _board: EngineTracker,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {}

  logIfDue (running: number, runningOn: (engineId: string) => number): void {
    if (performance.now() - this._writtenAtMs < INTERVAL_MS) return
    this._writtenAtMs = performance.now()
    this._metrics.gauge('batch_items_running', running)
    const open = [...this._batches.all()].filter(batch => batch.isOpen)
    if (open.length === 0 && running === 0) return
    const engines = this._fleet.all().filter(engine => engine.member.versions.size > 0).map(engine => {
      const { id } = engine.member
      const loading = [...engine.member.versions.keys()].filter(model => this._board.isLoading(id, model)).map(model => `:loads ${model}`).join('')
      return `${id}:${runningOn(id)}:${Math.round(engine.averageMs ?? 0)}ms${engine.isExcluded ? ':avoided' : ''}${loading}`
    })
    const batches = open.map(({ spec, positionsAllocated: positionsTaken, items }) => `${spec.id}:step ${spec.step}:${positionsTaken}/${items.length}`)
    this._logger.info({ open: batches.join(','), running, engines: engines.join(',') }, 'batch_status')
  }
}
