import type { Waiter } from './Waiter.js'

/** Waiters of one organisation that are examined for a dispatch; the first ones may be tied to busy upstreams. */
const MAX_EXAMINED_WAITERS = 32

interface OrganisationQueue {
  /** In order of deadline. */
  waiters: Waiter[]
  /** Work dispatched for the organisation, in units divided by its share. */
  virtualTime: number
}

/** Queue of one size of work: organisations by weighted fair queueing, each organisation's requests by deadline. */
export class WeightedFairQueue {
  private readonly _organisations = new Map<string, OrganisationQueue>()
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
      // An organisation gains no credit for the time in which it asked for nothing.
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

  /** Takes the first waiter for which `place` finds a place, and accounts its work to its organisation. */
  take<T> (place: (waiter: Waiter) => T | undefined): { waiter: Waiter, selected: T } | undefined {
    for (const [organisation, queue] of this._byVirtualTime()) {
      const examined = queue.waiters.slice(0, MAX_EXAMINED_WAITERS)
      for (const waiter of examined) {
        const placed = place(waiter)
        if (placed === undefined) continue
        this.remove(waiter)
        this._virtualTime = Math.max(this._virtualTime, queue.virtualTime)
        queue.virtualTime += Math.max(1, waiter.request.units) / this._shareOf(organisation)
        return { waiter, selected: placed }
      }
    }
    return undefined
  }

  /** Waiters that leave before a new one of this organisation, by deadline and by the organisations' shares. */
  countAhead (organisation: string, deadlineAtMs: number): number {
    const own = this._organisations.get(organisation)?.waiters ?? []
    const ownAhead = own.filter((waiter) => waiter.request.deadlineAtMs <= deadlineAtMs).length
    let shares = this._shareOf(organisation)
    for (const [other, queue] of this._organisations) {
      if (other !== organisation && queue.waiters.length > 0) shares += this._shareOf(other)
    }
    const byShare = (ownAhead + 1) * shares / this._shareOf(organisation) - 1
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
