import type { Upstream } from '../upstream/Upstream.js'
import type { WeightTarget } from './WeightTarget.js'

/** An engine that has not loaded the newest version of a model. */
export interface SwapCandidate {
  engine: Upstream
  target: WeightTarget
  /** Number of versions that the engine is behind. */
  lag: number
  /** Number of consecutive failed loads on the engine. */
  failures: number
}
