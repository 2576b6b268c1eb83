import type { ScalingConfig } from '../routing/ScalingConfig.js'
import type { DomainCapacity } from './DomainCapacity.js'
import type { ScalingDemand } from './ScalingDemand.js'

/** What a scaling decision for one service depends on. */
export interface ScalingPlanInput {
  service: string
  config: ScalingConfig
  domains: readonly DomainCapacity[]
  slotsPerUpstream: number
  /** Lowest demand of the last seconds, so that a burst shorter than the start of an upstream orders nothing. */
  sustained: ScalingDemand
  /** Highest demand in use and waiting over the time that has to pass before upstreams are given back, in slots; undefined until it has passed. */
  peakSlots?: number
  /** Whether an order for this failure domain and kind may be sent now. */
  mayOrder: (failureDomain: string, isSpot: boolean) => boolean
}
