import type { Waiter } from './Waiter.js'

/** Waiters of one customer that are examined for a dispatch; the first ones may be tied to busy upstreams. */
const MAX_EXAMINED = 32

interface CustomerQueue {
  /** In order of deadline. */
  waiters: Waiter[]
  /** Work dispatched for the customer, in units divided by its share. */
  virtualTime: number
}

/** Queue of one size of work: customers by weighted fair queueing, each customer's requests by deadline. */
export class ClassQueue {
  private readonly _customers = new Map<string, CustomerQueue>()
  private _virtualTime = 0
  private _size = 0

  constructor (private readonly _shareOf: (customer: string) => number) {}

  get size (): number {
    return this._size
  }

  add (waiter: Waiter): void {
    const { customer, deadlineAtMs } = waiter.request
    let queue = this._customers.get(customer)
    if (queue === undefined) {
      queue = { waiters: [], virtualTime: this._virtualTime }
      this._customers.set(customer, queue)
    }
    if (queue.waiters.length === 0) {
      // A customer gains no credit for the time in which it asked for nothing.
      queue.virtualTime = Math.max(queue.virtualTime, this._virtualTime)
    }
    const index = queue.waiters.findLastIndex((other) => other.request.deadlineAtMs <= deadlineAtMs)
    queue.waiters.splice(index + 1, 0, waiter)
    this._size++
  }

  remove (waiter: Waiter): boolean {
    const queue = this._customers.get(waiter.request.customer)
    const index = queue?.waiters.indexOf(waiter) ?? -1
    if (queue === undefined || index === -1) {
      return false
    }
    queue.waiters.splice(index, 1)
    this._size--
    return true
  }

  /** Takes the first waiter for which `place` finds a place, and accounts its work to its customer. */
  take<T> (place: (waiter: Waiter) => T | undefined): { waiter: Waiter, placed: T } | undefined {
    for (const [customer, queue] of this._inTurn()) {
      const examined = queue.waiters.slice(0, MAX_EXAMINED)
      for (const waiter of examined) {
        const placed = place(waiter)
        if (placed === undefined) continue
        this.remove(waiter)
        this._virtualTime = Math.max(this._virtualTime, queue.virtualTime)
        queue.virtualTime += Math.max(1, waiter.request.units) / this._shareOf(customer)
        return { waiter, placed }
      }
    }
    return undefined
  }

  /** Waiters that leave before a new one of this customer, by deadline and by the customers' shares. */
  countAhead (customer: string, deadlineAtMs: number): number {
    const own = this._customers.get(customer)?.waiters ?? []
    const ownAhead = own.filter((waiter) => waiter.request.deadlineAtMs <= deadlineAtMs).length
    let shares = this._shareOf(customer)
    for (const [other, queue] of this._customers) {
      if (other !== customer && queue.waiters.length > 0) shares += this._shareOf(other)
    }
    const byShare = (ownAhead + 1) * shares / this._shareOf(customer) - 1
    return Math.min(byShare, this._size - own.length + ownAhead)
  }

  all (): Waiter[] {
    return [...this._customers.values()].flatMap((queue) => queue.waiters)
  }

  private _inTurn (): Array<[string, CustomerQueue]> {
    const active = [...this._customers].filter(([, queue]) => queue.waiters.length > 0)
    return active.sort(([, left], [, right]) => left.virtualTime - right.virtualTime)
  }
}
