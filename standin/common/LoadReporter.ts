import { randomUUID } from 'node:crypto'
import type { Hono } from 'hono'
import type { LoadReport } from '../../src/common/schema/LoadReport.js'
import { LaggedValue } from './LaggedValue.js'
import type { StandInEnv } from './StandInEnv.js'

const RECORD_INTERVAL_MS = 20

/** Serves `GET /v1/load`, which reports the load as it was `lagMs` ago. */
export class LoadReporter {
  readonly bootId = randomUUID()
  private readonly _history: LaggedValue<LoadReport>

  constructor (private readonly _lagMs: number, private readonly _readLoad: () => Omit<LoadReport, 'boot_id' | 'reported_at_ms'>) {
    this._history = new LaggedValue(_lagMs)
    this._recordLoad()
    setInterval(() => this._recordLoad(), RECORD_INTERVAL_MS).unref()
  }

  mountRoutes (app: Hono<StandInEnv>): void {
    app.get('/v1/load', c => {
      // Without a lag, the last recorded load could still be up to one interval old.
      if (this._lagMs === 0) this._recordLoad()
      return c.json(this._history.get(this._lagMs, Date.now())!.value)
    })
  }

  private _recordLoad (): void {
    const nowMs = Date.now()
    this._history.set({ boot_id: this.bootId, ...this._readLoad(), reported_at_ms: nowMs }, nowMs)
  }
}
