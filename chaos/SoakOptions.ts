/** Size and length of a fault run. */
export interface SoakOptions {
  seed: number
  /** Period in which calls and faults begin. */
  seconds: number
  /** Number of poison requests, which crash each engine that runs them. */
  poisonCount: number
  /** Number of processes of the whole system, including stand-ins. */
  processes: number
}
