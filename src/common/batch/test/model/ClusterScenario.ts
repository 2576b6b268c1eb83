/** A trainer of the cluster model. */
export interface TrainerLoad {
  name: string
  model: string
  groups: number
  itemsPerGroup: number
  meanEvents: number
  hasHints: boolean
  /** Priority of its batches; 0 is the highest, and the default. */
  priority?: number
  organisation?: string
  /** Whether its steps accept every version; otherwise step k needs version k - 1. */
  acceptsAnyVersion?: boolean
}

/** Load and engines of one run of the cluster model. */
export interface ClusterScenario {
  seed: number
  durationMs: number
  slotsPerEngine: number
  /** Relative speed of each engine; 1 generates an event in 45 ms while it runs one request. */
  speeds: readonly number[]
  trainers: readonly TrainerLoad[]
  /** Slow phases, crashes and drains of engines. */
  hasFaults: boolean
}
