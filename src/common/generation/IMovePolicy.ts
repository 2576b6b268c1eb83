import type { Upstream } from '../upstream/Upstream.js'

/** Decides whether a stream that runs slowly is resumed on another engine. */
export interface IMovePolicy {
  /** A generation began. */
  onRequest (): void
  /** Time per token of a stream on an engine, over a short time. */
  record (engine: Upstream, paceMs: number): void
  /** Asked when a stream is slow; true counts it as moved. `excluded`: engines that it cannot go to. */
  tryAcquire (engine: Upstream, paceMs: number, excluded: ReadonlySet<string>): boolean
}
