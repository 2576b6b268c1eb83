import type { IBalancer } from '../upstream/balance/IBalancer.js'
import { ClassQueue } from './ClassQueue.js'
import type { IRoomPolicy } from './IRoomPolicy.js'
import type { Waiter } from './Waiter.js'

/** Short requests after which a long one gets a turn. */
const MAX_SHORT_IN_ROW = 8
/** Wait after which long work may pass the estimate of other entries' load. */
const OVERDUE_MS = 1_000
/** Time after the last short request for which places are kept free of long work. */
const SHORT_MEMORY_MS = 30_000

/** Queues of one service: short work before long work, with a turn for long work now and then. */
export class ServiceQueue {
  readonly short: ClassQueue
  readonly long: ClassQueue
  /** `performance.now()` since which no upstream could be used. */
  unusableSinceMs?: number
  private _shortInRow = 0
  private _shortSeenAtMs = -Infinity

  constructor (
    readonly service: string,
    readonly balancer: IBalancer,
    readonly room: IRoomPolicy,
    shareOf: (organisation: string) => number
  ) {
    this.short = new ClassQueue(shareOf)
    this.long = new ClassQueue(shareOf)
  }

  get size (): number {
    return this.short.size + this.long.size
  }

  queueOf (size: 'short' | 'long'): ClassQueue {
    return size === 'short' ? this.short : this.long
  }

  noteArrival (size: 'short' | 'long', nowMs: number): void {
    if (size === 'short') {
      this._shortSeenAtMs = nowMs
    }
  }

  /** True while places must be kept free for short work. */
  isReserving (nowMs: number): boolean {
    return nowMs - this._shortSeenAtMs < SHORT_MEMORY_MS
  }

  /** True when the oldest long request has waited for too long. */
  isLongOverdue (nowMs: number): boolean {
    return this.long.size > 0 && this.long.all().some((waiter) => nowMs - waiter.enqueuedAtMs >= OVERDUE_MS)
  }

  /** Takes the next waiter that finds a place. */
  take<T> (place: (waiter: Waiter) => T | undefined): { waiter: Waiter, placed: T } | undefined {
    const isLongDue = this._shortInRow >= MAX_SHORT_IN_ROW && this.long.size > 0
    const order = isLongDue ? [this.long, this.short] : [this.short, this.long]
    for (const queue of order) {
      const taken = queue.take(place)
      if (taken !== undefined) {
        this._shortInRow = queue === this.short ? this._shortInRow + 1 : 0
        return taken
      }
    }
    return undefined
  }

  all (): Waiter[] {
    return [...this.short.all(), ...this.long.all()]
  }
}
