import { Disposable } from '../../common/kernel/Disposable.js'
import type { IDisposable } from '../../common/kernel/IDisposable.js'
import { toDisposable } from '../../common/kernel/toDisposable.js'

/** A turn reads what one socket holds. One turn in this time leaves over half of a core to other requests. */
const TURN_INTERVAL_MS = 100
/** On a slow host, turns take longer: one is skipped while the event loop has been busy for more than this share of the time since the last. */
const MAX_BUSY_SHARE = 0.5
/** A turn is skipped no more often than this, so that bodies make progress on a busy host. */
const MAX_SKIPPED_TURNS = 4
/** Bodies that wait for a turn; the last of them waits 2.5 s, or 12.5 s on a busy host. */
const MAX_WAITING = 25

/** Lets bodies in tiny chunks be read in turn: a chunk costs far more processor time than its bytes. */
export class ChunkPacer extends Disposable {
  private readonly _waiting = new Set<{ readonly resume: () => void }>()
  private _timer?: NodeJS.Timeout
  private _usageAtTurn = performance.eventLoopUtilization()
  private _skippedTurns = 0

  constructor () {
    super()
    this._register(toDisposable(() => clearInterval(this._timer)))
  }

  /** Calls `resume` when it is the turn of a body, unless the result is disposed before; returns undefined if too many wait. */
  wait (resume: () => void): IDisposable | undefined {
    if (this._waiting.size >= MAX_WAITING) return undefined
    const entry = { resume }
    this._waiting.add(entry)
    this._timer ??= setInterval(() => this._nextTurn(), TURN_INTERVAL_MS).unref()
    return toDisposable(() => this._waiting.delete(entry))
  }

  private _nextTurn (): void {
    const busyShare = performance.eventLoopUtilization(this._usageAtTurn).utilization
    if (busyShare > MAX_BUSY_SHARE && this._skippedTurns < MAX_SKIPPED_TURNS) {
      this._skippedTurns += 1
      return
    }
    this._skippedTurns = 0
    this._usageAtTurn = performance.eventLoopUtilization()
    const [next] = this._waiting
    if (next !== undefined) {
      this._waiting.delete(next)
      next.resume()
    }
    if (this._waiting.size > 0) return
    clearInterval(this._timer)
    this._timer = undefined
  }
}
