import { randomUUID } from 'node:crypto'
import type { Hono } from 'hono'
import type { LoadReport } from '../../src/common/schema/LoadReport.js'
import { LaggedValue } from './LaggedValue.js'
import type { StandInEnv } from './StandInEnv.js'

const SAMPLE_INTERVAL_MS = 20

/** Serves `GET /v1/load`: the load as it was `lagMs` ago. */
export class LoadReporter {
  readonly bootId = randomUUID()
  private readonly _history: LaggedValue<LoadReport>

  constructor (private readonly _lagMs: number, private readonly _read: () => Omit<LoadReport, 'boot_id' | 'reported_at_ms'>) {
    this._history = new LaggedValue(_lagMs)
    this._sample()
    setInterval(() => this._sample(), SAMPLE_INTERVAL_MS).unref()
  }

  mount (app: Hono<StandInEnv>): void {
    app.get('/v1/load', c => {
      // Without a lag the sampled history would still be one interval late.
      if (this._lagMs === 0) this._sample()
      return c.json(this._history.get(this._lagMs, Date.now())!.value)
    })
  }

  private _sample (): void {
    const nowMs = Date.now()
    this._history.set({ boot_id: this.bootId, ...this._read(), reported_at_ms: nowMs }, nowMs)
  }
}
