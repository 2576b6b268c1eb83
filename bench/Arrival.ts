/** One request of an open-loop load, sent at its scheduled time regardless of the outcome of earlier requests. */
export interface Arrival {
  /** Scheduled send time, measured from the start of the round. */
  atMs: number
  /** Name under which the latency of this kind of request is reported. */
  label: string
  organisation: 'lin-shun' | 'almaskert'
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string
  /** True: the response is a token stream that must contain the end marker. */
  isStream?: boolean
}
