/** A call or a group of repeated calls of the workload, as drawn from the seed. */
export interface PlannedWork {
  kind: 'lookup' | 'ticket' | 'stream' | 'poison'
  organisation: 'lin-shun' | 'almaskert'
  /** Start, in milliseconds after the start of the run. */
  atMs: number
  /** Random number that selects the entry (or the balancer) of the first call. */
  entryChoice: number
  /** Random number that selects the entry (or the balancer) of the repeated call of a ticket. */
  repeatEntryChoice: number
  /** Delay of the repeated call of a ticket; for an abandoned stream, the time until the caller aborts it. */
  repeatAfterMs: number
  /** True if the caller aborts the stream, or the first call of a ticket. */
  isAbandoned: boolean
  /** Length of the stream, in tokens. */
  tokens: number
}
