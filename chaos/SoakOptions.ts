/** Size and length of a fault run. */
export interface SoakOptions {
  seed: number
  /** Time during which calls and faults begin. */
  seconds: number
  /** Requests that crash each engine that runs them. */
  poisonCount: number
  /** Processes of the whole system, stand-ins included. */
  processes: number
}
