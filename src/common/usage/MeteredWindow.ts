/** Requests of one window at this entry. */
export interface MeteredWindow {
  readonly window: number
  readonly counts: Map<string, number>
  /** Increases with each request that is added. */
  revision: number
  /** Revision of the counts that the holder took last; 0 if it took none. */
  takenRevision: number
}
