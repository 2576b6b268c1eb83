/** A complete response of the service before faults are applied. */
export interface ServiceResponse {
  status: number
  requestId: string
  body: string
}
