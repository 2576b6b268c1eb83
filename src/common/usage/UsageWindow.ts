/** Requests of one window by organisation, as one entry has counted them. */
export interface UsageWindow {
  window: number
  counts: Record<string, number>
}
