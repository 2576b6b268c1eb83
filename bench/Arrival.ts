/** One request of a load, sent at its time whatever became of earlier ones. */
export interface Arrival {
  /** Scheduled send time from the start of the round. */
  atMs: number
  /** Kind of work, under which its latency is reported. */
  label: string
  organisation: 'lin-shun' | 'almaskert'
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string
  /** True: the response is a token stream that must carry its end marker. */
  isStream?: boolean
}
