/** An injected fault. `toMs` is the time at which its target was in order again. */
export interface FaultRecord {
  kind: string
  /** Process, or `from>to` for a route of the fault proxy. */
  target: string
  fromMs: number
  toMs: number
}
