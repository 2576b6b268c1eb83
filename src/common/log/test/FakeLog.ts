import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { ILogClient } from '../ILogClient.js'
import type { LogEntry } from '../LogEntry.js'
import type { LogError } from '../LogError.js'
import type { LogPage } from '../LogPage.js'
import type { StreamName } from '../StreamName.js'
import type { AppendOutcome } from './AppendOutcome.js'

interface Stream { entries: LogEntry[], earliest: number, next: number, waiters: Set<() => void> }

/** In-memory log that simulates outages, lost responses, latency and retention. */
export class FakeLog implements ILogClient {
  isDown = false
  latencyMs = 0
  appendCount = 0
  readonly appendTimesMs: number[] = []
  readonly batchSizes: number[] = []
  /** Decides the outcome of the next append. */
  decideOutcome: (values: unknown[]) => AppendOutcome = () => 'ok'
  private readonly _streams = new Map<StreamName, Stream>()

  append (stream: StreamName, values: unknown[]): ResultAsync<number, LogError> {
    return new ResultAsync(this._append(stream, values))
  }

  read (stream: StreamName, fromOffset: number, limit: number, waitMs: number): ResultAsync<LogPage, LogError> {
    return new ResultAsync(this._read(stream, fromOffset, limit, waitMs))
  }

  /** Writes records directly, as if another entry had appended them. */
  write (stream: StreamName, ...values: unknown[]): number {
    const state = this._stream(stream)
    const first = state.next
    for (const value of values) {
      state.entries.push({ offset: state.next++, timeMs: Date.now(), value: JSON.parse(JSON.stringify(value)) })
    }
    for (const wake of [...state.waiters]) wake()
    return first
  }

  /** Removes the records before an offset, as retention does. */
  dropBefore (stream: StreamName, offset: number): void {
    const state = this._stream(stream)
    state.earliest = offset
    state.entries = state.entries.filter(entry => entry.offset >= offset)
  }

  entries (stream: StreamName): LogEntry[] {
    return this._stream(stream).entries
  }

  private _stream (name: StreamName): Stream {
    const state = this._streams.get(name) ?? { entries: [], earliest: 0, next: 0, waiters: new Set() }
    this._streams.set(name, state)
    return state
  }

  private async _append (stream: StreamName, values: unknown[]): Promise<Result<number, LogError>> {
    this.appendCount++
    this.appendTimesMs.push(performance.now())
    this.batchSizes.push(values.length)
    await this._delay(this.latencyMs)
    const outcome = this.isDown ? 'rejected' : this.decideOutcome(values)
    if (outcome === 'rejected') return err(unavailable(false))
    if (outcome === 'malformed') return err({ kind: 'log_rejected', message: 'malformed', mayTakeEffect: false })
    if (outcome === 'request_lost') return err(unavailable(true))
    const first = this.write(stream, ...values)
    await this._delay(this.latencyMs)
    return outcome === 'ok' ? ok(first) : err(unavailable(true))
  }

  private async _read (name: StreamName, from: number, limit: number, waitMs: number): Promise<Result<LogPage, LogError>> {
    await this._delay(this.latencyMs)
    const state = this._stream(name)
    if (!this.isDown && from >= state.next && waitMs > 0) await this._waitForRecord(state, waitMs)
    await this._delay(this.latencyMs)
    if (this.isDown) return err(unavailable(false))
    const bounds = { earliestOffset: state.earliest, nextOffset: state.next }
    if (from < state.earliest) return err({ kind: 'out_of_retention', message: 'gone', mayTakeEffect: false, ...bounds })
    const entries = state.entries.filter(entry => entry.offset >= from).slice(0, limit)
    return ok({ entries, ...bounds })
  }

  private _waitForRecord (state: Stream, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        state.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      state.waiters.add(wake)
    })
  }

  private _delay (durationMs: number): Promise<void> {
    return durationMs <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, durationMs))
  }
}

function unavailable (mayTakeEffect: boolean): LogError {
  return { kind: 'log_unavailable', message: 'fake outage', mayTakeEffect }
}
