/** One publication of a contract as its operator saw it; without a revision it was not accepted. */
export interface Publication {
  organisation: string
  operator: string
  entry: string
  base: number
  text: string
  startedAtMs: number
  endedAtMs: number
  revision?: number
}
