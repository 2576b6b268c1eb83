import { setTimeout as sleep } from 'node:timers/promises'
import type { Context } from 'hono'
import { z } from 'zod'
import { Emitter } from '../../src/common/kernel/Emitter.js'
import { createApp } from '../common/createApp.js'
import { resetConnection } from '../common/resetConnection.js'
import { FaultController } from '../common/FaultController.js'
import { RateLimiter } from '../common/RateLimiter.js'
import { parseJsonBody } from '../common/parseJsonBody.js'
import type { StandInEnv } from '../common/StandInEnv.js'
import { consumeFault } from '../common/consumeFault.js'
import { logFaultsSchema } from './logFaultsSchema.js'
import { LogStream } from './LogStream.js'

const MAX_READ_LIMIT = 10_000
const MAX_WAIT_MS = 60_000

const appendSchema = z.strictObject({ records: z.array(z.unknown()).min(1) })
const readSchema = z.strictObject({
  from: z.coerce.number().int().min(0),
  limit: z.coerce.number().int().min(1).max(MAX_READ_LIMIT).default(1000),
  wait_ms: z.coerce.number().int().min(0).max(MAX_WAIT_MS).default(0)
})

/** Emulated append-only log; its HTTP interface is specified in docs/design.md, section 4.3. */
export class LogServer {
  readonly app = createApp()
  readonly faults = new FaultController(logFaultsSchema)
  private readonly _streams = new Map<string, LogStream>()
  private readonly _appended = new Emitter<string>()
  private readonly _rateLimiter: RateLimiter
  private _appendCount = 0
  private _rateLimitedCount = 0
  private _retentionPausedAtMs?: number

  constructor (private readonly _retentionMs: number, appendRate: number) {
    this._rateLimiter = new RateLimiter(appendRate)
    this.faults.mountRoutes(this.app)
    this.faults.onChange(({ retention_paused: isPaused }) => { this._retentionPausedAtMs = isPaused ? this._retentionPausedAtMs ?? Date.now() : undefined })
    this.app.get('/stats', c => c.json(this._stats()))
    this.app.post('/v1/streams/:stream/records', async c => await this._append(c))
    this.app.get('/v1/streams/:stream/records', async c => await this._read(c))
  }

  private async _append (c: Context<StandInEnv>): Promise<Response> {
    const { records } = await parseJsonBody(c, appendSchema)
    await sleep(this.faults.current.slow_ms)
    if (this.faults.current.outage || this.faults.current.refuse_appends) return this._unavailable(c)
    if (!this._rateLimiter.tryAcquire()) {
      this._rateLimitedCount++
      return c.json({ error: { kind: 'rate_limited', message: 'append rate exceeded' } }, 429)
    }
    const name = c.req.param('stream') ?? ''
    const stream = this._stream(name)
    const firstOffset = stream.append(records, Date.now())
    this._appendCount++
    this._appended.fire(name)
    if (consumeFault(this.faults.current, 'lose_append_answers')) return resetConnection(c)
    return c.json({ first_offset: firstOffset, next_offset: firstOffset + records.length })
  }

  private async _read (c: Context<StandInEnv>): Promise<Response> {
    const parsed = readSchema.safeParse(c.req.query())
    if (!parsed.success) return c.json({ error: { kind: 'invalid_request', message: z.prettifyError(parsed.error) } }, 400)
    const { from, limit, wait_ms: waitMs } = parsed.data
    await sleep(this.faults.current.slow_ms)
    const name = c.req.param('stream') ?? ''
    const stream = this._stream(name)
    if (!this.faults.current.outage && from >= stream.nextOffset && waitMs > 0) await this._waitForRecord(name, waitMs)
    if (this.faults.current.outage) return this._unavailable(c)
    const offsets = { earliest_offset: stream.earliestOffset(this._retentionNowMs()), next_offset: stream.nextOffset }
    if (from < offsets.earliest_offset) return c.json(offsets, 410)
    return c.json({ records: stream.read(from, limit), ...offsets })
  }

  private _retentionNowMs (): number {
    return this._retentionPausedAtMs ?? Date.now()
  }

  /** Resolves on the next append to the stream, when an outage begins, or after `waitMs`. */
  private async _waitForRecord (name: string, waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer)
        appended.dispose()
        changed.dispose()
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      const appended = this._appended.event(stream => { if (stream === name) finish() })
      const changed = this.faults.onChange(faults => { if (faults.outage) finish() })
    })
  }

  private _unavailable (c: Context<StandInEnv>): Response {
    return c.json({ error: { kind: 'unavailable', message: 'log unavailable' } }, 503)
  }

  private _stream (name: string): LogStream {
    const stream = this._streams.get(name) ?? new LogStream(this._retentionMs)
    this._streams.set(name, stream)
    return stream
  }

  private _stats (): Record<string, unknown> {
    const streams = Object.fromEntries([...this._streams].map(([name, stream]) => [name, {
      earliest_offset: stream.earliestOffset(this._retentionNowMs()),
      next_offset: stream.nextOffset
    }]))
    return { appends: this._appendCount, limited: this._rateLimitedCount, streams }
  }
}
