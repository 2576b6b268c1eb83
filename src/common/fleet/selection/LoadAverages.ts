/** Moving averages over the load readings of one upstream. */
export interface LoadAverages {
  /** Requests of all processes at the upstream. */
  total: number
  /** Requests of this process there when the reading arrived, with the one whose response brought it. */
  own: number
}
