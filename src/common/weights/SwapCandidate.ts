import type { Upstream } from '../upstream/Upstream.js'
import type { WeightTarget } from './WeightTarget.js'

/** An engine that lacks the newest version of a model. */
export interface SwapCandidate {
  engine: Upstream
  target: WeightTarget
  /** Versions that the engine is behind. */
  lag: number
  /** Consecutive loads that failed on the engine. */
  failures: number
}
