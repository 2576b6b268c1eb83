/** Running and waiting batch items, for the selection of engines that load a new version. */
export interface IBatchWorkload {
  /** Number of runs at an engine, of one model or of all models. */
  countRunsOn (engineId: string, model?: string): number
  /** Number of runs of a model at an engine whose output a version change would make worthless. */
  countSingleVersionRunsOn (engineId: string, model: string): number
  /** Number of items of a model that wait for an engine, and the highest minimum version of its open batches. */
  countWaitingItems (model: string): { count: number, minVersion: number | undefined }
  /**
   * Starts no new runs of a model at an engine for at most `timeoutMs`, and expects its runs to pause for
   * `expectedMs`; a `timeoutMs` of 0 lifts both.
   */
  setLoading (engineId: string, model: string, timeoutMs: number, expectedMs: number): void
}
