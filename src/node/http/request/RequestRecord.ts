/** Data about one request, for the access log and the time limit of its response. */
export interface RequestRecord {
  requestId: string
  startedAtMs: number
  organisation?: string
  revision?: number
  operator?: string
  workClass?: string
  /** `ok` or the kind of the error. */
  outcome: string
  /** True when the response is a stream of events. */
  isStream: boolean
}
