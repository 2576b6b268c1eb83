/** Holder of one lease as the log shows it. */
export interface LeaseState {
  holder: string
  /** Fencing number: offset of the accepted lease record. */
  fence: number
  leaseMs: number
  /** Log time of the last record that counted for the holder. */
  renewedAtMs: number
  /** `performance.now()` at which that record was applied here. */
  appliedAtMs: number
  /** Id of that record. */
  recordId: string
  /** True for a lease record read with incomplete knowledge, which a renewal by another holder refutes. */
  isTentative: boolean
}
