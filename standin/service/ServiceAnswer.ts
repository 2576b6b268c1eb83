/** A complete answer of the service before faults are applied. */
export interface ServiceAnswer {
  status: number
  requestId: string
  body: string
}
