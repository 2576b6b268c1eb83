import type { Waiter } from './Waiter.js'

/** Number of waiters of one organisation that are examined for each dispatch, because the first ones may exclude all upstreams with capacity. */
const MAX_EXAMINED_WAITERS = 32

interface OrganisationQueue {
  /** Sorted by deadline. */
  waiters: Waiter[]
  /** Units of work dispatched for the organisation, divided by its share. */
  virtualTime: number
}

/** Queue for requests of one size: weighted fair queueing between organisations, earliest deadline first within each. */
export class WeightedFairQueue {
  private readonly _organisations = new Map<string, OrganisationQueue>()
  /** Highest virtual time at which an organisation was served; an organisation that was idle continues at no less than it. */
  private _virtualTime = 0
  private _size = 0

  constructor (private readonly _shareOf: (organisation: string) => number) {}

  get size (): number {
    return this._size
  }

  add (waiter: Waiter): void {
    const { organisation, deadlineAtMs } = waiter.request
    let queue = this._organisations.get(organisation)
    if (queue === undefined) {
      queue = { waiters: [], virtualTime: this._virtualTime }
      this._organisations.set(organisation, queue)
    }
    if (queue.waiters.length === 0) {
      // An organisation accumulates no credit while it has no queued requests.
      queue.virtualTime = Math.max(queue.virtualTime, this._virtualTime)
    }
    const index = queue.waiters.findLastIndex((other) => other.request.deadlineAtMs <= deadlineAtMs)
    queue.waiters.splice(index + 1, 0, waiter)
    this._size++
  }

  remove (waiter: Waiter): boolean {
    const queue = this._organisations.get(waiter.request.organisation)
    const index = queue?.waiters.indexOf(waiter) ?? -1
    if (queue === undefined || index === -1) {
      return false
    }
    queue.waiters.splice(index, 1)
    this._size--
    return true
  }

  /** Removes and returns the first waiter for which `select` finds an upstream, and charges its units to its organisation. */
  take<T> (select: (waiter: Waiter) => T | undefined): { waiter: Waiter, selected: T } | undefined {
    for (const [organisation, queue] of this._byVirtualTime()) {
      const examined = queue.waiters.slice(0, MAX_EXAMINED_WAITERS)
      for (const waiter of examined) {
        const selected = select(waiter)
        if (selected === undefined) continue
        this.remove(waiter)
        this._virtualTime = Math.max(this._virtualTime, queue.virtualTime)
        queue.virtualTime += Math.max(1, waiter.request.units) / this._shareOf(organisation)
        return { waiter, selected }
      }
    }
    return undefined
  }

  /** Estimated number of waiters dispatched before a new one of this organisation, by deadline and by the organisations' shares. */
  countAhead (organisation: string, deadlineAtMs: number): number {
    const own = this._organisations.get(organisation)?.waiters ?? []
    const ownAhead = own.filter((waiter) => waiter.request.deadlineAtMs <= deadlineAtMs).length
    let totalShares = this._shareOf(organisation)
    for (const [other, queue] of this._organisations) {
      if (other !== organisation && queue.waiters.length > 0) totalShares += this._shareOf(other)
    }
    const byShare = (ownAhead + 1) * totalShares / this._shareOf(organisation) - 1
    return Math.min(byShare, this._size - own.length + ownAhead)
  }

  all (): Waiter[] {
    return [...this._organisations.values()].flatMap((queue) => queue.waiters)
  }

  private _byVirtualTime (): Array<[string, OrganisationQueue]> {
    const active = [...this._organisations].filter(([, queue]) => queue.waiters.length > 0)
    return active.sort(([, left], [, right]) => left.virtualTime - right.virtualTime)
  }
}
