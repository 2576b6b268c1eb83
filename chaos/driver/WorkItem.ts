/** A piece of the workload; `via` and `via2` choose the entries of the first and the repeated call. */
export interface WorkItem {
  kind: 'lookup' | 'ticket' | 'stream' | 'poison'
  organisation: 'lin-shun' | 'almaskert'
  atMs: number
  via: number
  via2: number
  repeatAfterMs: number
  isAbandoned: boolean
  tokens: number
}
