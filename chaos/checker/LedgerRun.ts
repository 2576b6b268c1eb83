/** One run (execution) of a request, as recorded in the ledger of a service or an engine. */
export interface LedgerRun {
  upstream: string
  requestId: string
  /** `Idempotency-Key` of the request; empty if it had none. */
  key: string
  /** Time at which a plain service started the request or an engine accepted it. */
  atMs: number
  /** False for a request that an engine accepted but never started. */
  hasStarted: boolean
}
