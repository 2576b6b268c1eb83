/** One publication of a contract as observed by its operator. `revision` is missing if it was not accepted. */
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
