/** Counts of the demo; the demo succeeds when only `requests` and `answered` are above 0 and equal. */
export interface DemoCounters {
  requests: number
  answered: number
  lost: number
  duplicated: number
  stale: number
}
