/** An injected fault, or the downtime of a crashed engine. `toMs` is the time at which the target had recovered. */
export interface FaultRecord {
  kind: string
  /** Name of a process, or `from>to` for a route of the fault proxy. */
  target: string
  fromMs: number
  toMs: number
}
