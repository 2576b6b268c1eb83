/** A trainer's read. `cursor` states that the trainer has every group up to it. */
export interface GroupReadRequest {
  organisation: string
  trainer: string
  cursor: number
  /** Newest weight version the trainer knows. */
  version: number
  max: number
  waitMs: number
  signal: AbortSignal
}
