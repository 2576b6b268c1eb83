/** Numbers of queued and in-flight requests of each organisation on this entry. */
export class OrganisationCounts {
  private readonly _inFlight = new Map<string, number>()
  private readonly _queued = new Map<string, number>()

  inFlight (organisation: string): number {
    return this._inFlight.get(organisation) ?? 0
  }

  queued (organisation: string): number {
    return this._queued.get(organisation) ?? 0
  }

  addInFlight (organisation: string, by: 1 | -1): void {
    this._inFlight.set(organisation, this.inFlight(organisation) + by)
  }

  addQueued (organisation: string, by: 1 | -1): void {
    this._queued.set(organisation, this.queued(organisation) + by)
  }
}
