import type { Upstream } from '../upstream/Upstream.js'

/** Decides whether a slow stream is moved, that is resumed on another engine. */
export interface IMovePolicy {
  /** Called for each generation. */
  onRequest (): void
  /** Records a measured time per token of a stream on an engine. */
  record (engine: Upstream, tokenIntervalMs: number): void
  /**
   * Called when a stream is slow; returns true if it may be moved, and counts the move.
   * `excluded`: ids of engines that it cannot move to.
   */
  tryAcquire (engine: Upstream, tokenIntervalMs: number, excluded: ReadonlySet<string>): boolean
}
