/** Requests of each customer on this entry. */
export class CustomerCounts {
  private readonly _inFlight = new Map<string, number>()
  private readonly _queued = new Map<string, number>()

  inFlight (customer: string): number {
    return this._inFlight.get(customer) ?? 0
  }

  queued (customer: string): number {
    return this._queued.get(customer) ?? 0
  }

  addInFlight (customer: string, by: 1 | -1): void {
    this._inFlight.set(customer, this.inFlight(customer) + by)
  }

  addQueued (customer: string, by: 1 | -1): void {
    this._queued.set(customer, this.queued(customer) + by)
  }
}
