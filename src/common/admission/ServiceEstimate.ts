/** What a service can do for a request, by what was measured. Times in milliseconds; 0 where nothing is known. */
export interface ServiceEstimate {
  /** Least time that the request itself takes. */
  minServiceTimeMs: number
  /** Time between two places that become free. */
  slotIntervalMs: number
}
