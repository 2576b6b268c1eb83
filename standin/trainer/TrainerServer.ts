import { createApp } from '../common/createApp.js'
import { FaultSwitch } from '../common/FaultSwitch.js'
import { takeOne } from '../common/takeOne.js'
import { RolloutApi } from './RolloutApi.js'
import { trainerFaultsSchema } from './trainerFaultsSchema.js'
import { TrainerLoop } from './TrainerLoop.js'
import type { TrainerOptions } from './TrainerOptions.js'
import { WeightPublisher } from './WeightPublisher.js'

/** Trainer process with its control interface. */
export class TrainerServer {
  readonly app = createApp()
  readonly faults = new FaultSwitch(trainerFaultsSchema)
  private readonly _api: RolloutApi
  private readonly _weights: WeightPublisher
  private readonly _loop: TrainerLoop
  private _startedAtMs = 0

  constructor (options: TrainerOptions) {
    this._api = new RolloutApi(options)
    this._weights = new WeightPublisher(options, this._api, () => this.faults.current.hold_weights)
    this._loop = new TrainerLoop(
      options,
      this._api,
      this._weights,
      async () => await this.faults.until(faults => !faults.paused),
      () => takeOne(this.faults.current, 'drop_read_answers')
    )
    this.faults.mount(this.app)
    this.app.get('/received', c => c.json({ cursor: this._loop.cursor, groups: this._loop.received }))
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
      steps_submitted: this._loop.submitted,
      steps_done: this._loop.stepsDone,
      step_ms: this._loop.stepMs,
      reads: this._loop.reads,
      cursor: this._loop.cursor,
      version: this._weights.version,
      version_announced: this._weights.announced,
      published_at_ms: this._weights.publishedAtMs,
      errors: this._api.errors,
      last_error: this._api.lastError
    }
  }
}
