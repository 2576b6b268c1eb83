/** Holder of one lease, according to the log. */
export interface LeaseState {
  holder: string
  /** Fencing token: offset of the accepted lease record. */
  fence: number
  leaseMs: number
  /** Log time of the last accepted lease or renewal record of the holder. */
  renewedAtMs: number
  /** `performance.now()` at which this entry applied that record. */
  appliedAtMs: number
  /** Id of that record. */
  recordId: string
  /** True if a lease record was applied soon after a gap, so that a renewal by another holder replaces it. */
  isTentative: boolean
}
