/** Read request of a trainer. `cursor` states that the trainer has received every group up to it. */
export interface GroupReadRequest {
  organisation: string
  trainer: string
  cursor: number
  /** Newest weight version the trainer knows. */
  version: number
  /** Maximum number of groups to return. */
  max: number
  /** Time to wait for a group when none can be delivered at once. */
  waitMs: number
  signal: AbortSignal
}
