import type { Hono } from 'hono'
import type { z } from 'zod'
import { Emitter } from '../../src/common/kernel/Emitter.js'
import { parseJsonBody } from './parseJsonBody.js'
import type { StandInEnv } from './StandInEnv.js'

/**
 * Controls the faults of a stand-in at run time. `POST /faults` replaces all faults: omitted fields return
 * to their defaults, so `{}` clears every fault.
 */
export class FaultController<T extends z.ZodObject> {
  current: z.output<T>
  private readonly _faultsChanged = new Emitter<z.output<T>>()
  readonly onChange = this._faultsChanged.event

  constructor (private readonly _schema: T) {
    this.current = _schema.parse({})
  }

  replaceFaults (faults: z.output<T>): void {
    this.current = faults
    this._faultsChanged.fire(faults)
  }

  /** Adds the routes `POST /faults`, `GET /faults` and `GET /ready`. */
  mountRoutes (app: Hono<StandInEnv>): void {
    app.get('/ready', c => c.json({ ready: true, pid: process.pid }))
    app.get('/faults', c => c.json(this.current))
    app.post('/faults', async c => {
      this.replaceFaults(await parseJsonBody(c, this._schema))
      return c.json(this.current)
    })
  }

  /** Resolves as soon as the predicate holds for the current faults, at once if it already does. */
  async waitUntil (predicate: (faults: z.output<T>) => boolean): Promise<void> {
    if (predicate(this.current)) return
    await new Promise<void>(resolve => {
      const subscription = this.onChange(faults => {
        if (!predicate(faults)) return
        subscription.dispose()
        resolve()
      })
    })
  }
}
