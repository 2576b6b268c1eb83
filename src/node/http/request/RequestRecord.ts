/** What the access log tells about one request. */
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
