/** What the runs of batch items need of engines, for the choice of engines that change versions. */
export interface IBatchWorkload {
  /** Runs at an engine, of one model or of all. */
  countRunsOn (engineId: string, model?: string): number
  /** Items that wait for an engine, and the oldest version that the newest open batch accepts. */
  countWaitingItems (model: string): { count: number, minVersion: number | undefined }
  /** Keeps new runs of a model away from an engine for `limitMs` at most, and tells how long its runs will pause; 0 lifts that. */
  setLoading (engineId: string, model: string, limitMs: number, expectedMs: number): void
}
