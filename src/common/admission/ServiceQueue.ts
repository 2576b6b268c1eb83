import type { IBalancer } from '../upstream/balance/IBalancer.js'
import { WeightedFairQueue } from './WeightedFairQueue.js'
import type { ICapacityPolicy } from './ICapacityPolicy.js'
import type { Waiter } from './Waiter.js'

/** Short requests after which a long one gets a turn. */
const MAX_CONSECUTIVE_SHORT = 8
/** Wait after which long work may pass the estimate of other entries' load. */
const LONG_OVERDUE_MS = 1_000
/** Time after the last short request for which places are kept free of long work. */
const SHORT_RESERVATION_MS = 30_000

/** Queues of one service: short work before long work, with a turn for long work now and then. */
export class ServiceQueue {
  readonly short: WeightedFairQueue
  readonly long: WeightedFairQueue
  /** `performance.now()` since which no upstream could be used. */
  unavailableSinceMs?: number
  private _consecutiveShort = 0
  private _lastShortAtMs = -Infinity

  constructor (
    readonly service: string,
    readonly balancer: IBalancer,
    readonly capacityPolicy: ICapacityPolicy,
    shareOf: (organisation: string) => number
  ) {
    this.short = new WeightedFairQueue(shareOf)
    this.long = new WeightedFairQueue(shareOf)
  }

  get size (): number {
    return this.short.size + this.long.size
  }

  queueOf (size: 'short' | 'long'): WeightedFairQueue {
    return size === 'short' ? this.short : this.long
  }

  recordArrival (size: 'short' | 'long', nowMs: number): void {
    if (size === 'short') {
      this._lastShortAtMs = nowMs
    }
  }

  /** True while places must be kept free for short work. */
  isReservingForShort (nowMs: number): boolean {
    return nowMs - this._lastShortAtMs < SHORT_RESERVATION_MS
  }

  /** True when the oldest long request has waited for too long. */
  isLongOverdue (nowMs: number): boolean {
    return this.long.size > 0 && this.long.all().some((waiter) => nowMs - waiter.enqueuedAtMs >= LONG_OVERDUE_MS)
  }

  /** Takes the next waiter that finds a place. */
  take<T> (place: (waiter: Waiter) => T | undefined): { waiter: Waiter, selected: T } | undefined {
    const isLongDue = this._consecutiveShort >= MAX_CONSECUTIVE_SHORT && this.long.size > 0
    const order = isLongDue ? [this.long, this.short] : [this.short, this.long]
    for (const queue of order) {
      const taken = queue.take(place)
      if (taken !== undefined) {
        this._consecutiveShort = queue === this.short ? this._consecutiveShort + 1 : 0
        return taken
      }
    }
    return undefined
  }

  all (): Waiter[] {
    return [...this.short.all(), ...this.long.all()]
  }
}
