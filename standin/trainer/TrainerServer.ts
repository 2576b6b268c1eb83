import { createApp } from '../common/createApp.js'
import { FaultController } from '../common/FaultController.js'
import { consumeFault } from '../common/consumeFault.js'
import { RolloutClient } from './RolloutClient.js'
import { trainerFaultsSchema } from './trainerFaultsSchema.js'
import { TrainerLoop } from './TrainerLoop.js'
import type { TrainerOptions } from './TrainerOptions.js'
import { WeightPublisher } from './WeightPublisher.js'

/** Emulated trainer and the HTTP interface that controls it. */
export class TrainerServer {
  readonly app = createApp()
  readonly faults = new FaultController(trainerFaultsSchema)
  private readonly _client: RolloutClient
  private readonly _weights: WeightPublisher
  private readonly _loop: TrainerLoop
  private _startedAtMs = 0

  constructor (options: TrainerOptions) {
    this._client = new RolloutClient(options)
    this._weights = new WeightPublisher(options, this._client, () => this.faults.current.hold_weights)
    this._loop = new TrainerLoop(
      options,
      this._client,
      this._weights,
      async () => await this.faults.waitUntil(faults => !faults.paused),
      () => consumeFault(this.faults.current, 'drop_read_answers')
    )
    this.faults.mountRoutes(this.app)
    this.app.get('/received', c => c.json({ cursor: this._loop.cursor, groups: this._loop.receivedGroups }))
    this.app.get('/stats', c => c.json(this._stats()))
  }

  async run (): Promise<void> {
    this._startedAtMs = performance.now()
    await Promise.all([this._loop.run(), this._weights.run()])
  }

  private _stats (): Record<string, unknown> {
    return {
      elapsed_ms: performance.now() - this._startedAtMs,
      idle_ms: this._loop.idleMs,
      steps_submitted: this._loop.stepsSubmitted,
      steps_done: this._loop.stepsDone,
      step_ms: this._loop.stepDurationsMs,
      reads: this._loop.readCount,
      cursor: this._loop.cursor,
      version: this._weights.version,
      version_announced: this._weights.announcedVersion,
      published_at_ms: this._weights.publishedAtMs,
      errors: this._client.errorCount,
      last_error: this._client.lastError
    }
  }
}
