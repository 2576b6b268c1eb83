import type { Hono } from 'hono'
import type { z } from 'zod'
import { Emitter } from '../../src/common/kernel/Emitter.js'
import { readBody } from './readBody.js'
import type { StandInEnv } from './StandInEnv.js'

/**
 * Faults of a stand-in, switched at run time. `POST /faults` replaces the whole set: fields that are
 * not given return to their defaults, so `{}` clears every fault.
 */
export class FaultSwitch<T extends z.ZodObject> {
  current: z.output<T>
  private readonly _changed = new Emitter<z.output<T>>()
  readonly onChange = this._changed.event

  constructor (private readonly _schema: T) {
    this.current = _schema.parse({})
  }

  set (faults: z.output<T>): void {
    this.current = faults
    this._changed.fire(faults)
  }

  /** Adds `POST /faults`, `GET /faults` and `GET /ready`. */
  mount (app: Hono<StandInEnv>): void {
    app.get('/ready', c => c.json({ ready: true, pid: process.pid }))
    app.get('/faults', c => c.json(this.current))
    app.post('/faults', async c => {
      this.set(await readBody(c, this._schema))
      return c.json(this.current)
    })
  }

  /** Resolves when the predicate holds for the faults in force; at once when it does already. */
  async until (predicate: (faults: z.output<T>) => boolean): Promise<void> {
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
