/** One run of a request in the ledger of a service or an engine. */
export interface LedgerRun {
  upstream: string
  requestId: string
  /** Idempotency-Key, empty without one. */
  key: string
  /** Start on a plain service, acceptance by an engine. */
  atMs: number
  /** False for a request that an engine accepted and never started. */
  hasStarted: boolean
}
