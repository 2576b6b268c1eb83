/** Estimated times of a service for a request, from measurements; 0 where none exist. */
export interface ServiceEstimate {
  /** Shortest time in which the request itself can complete. */
  minServiceTimeMs: number
  /** Mean interval between two slots becoming free. */
  slotIntervalMs: number
}
