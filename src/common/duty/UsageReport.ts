/** Requests of each organisation that began to run in one window. */
export interface UsageReport {
  /** The window begins `window` times the window length after the start of 1970. */
  window: number
  counts: Record<string, number>
}
