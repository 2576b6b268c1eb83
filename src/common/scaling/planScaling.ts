import type { DomainCapacity } from './DomainCapacity.js'
import type { ScalingOrder } from './ScalingOrder.js'
import type { ScalingPlanInput } from './ScalingPlanInput.js'

/** Most upstreams added by one decision, as a share of those present; the next one sees their effect. */
const MAX_STEP_SHARE = 0.25
/** Share of spot upstreams among all, so that the loss of all of them leaves most of the capacity. */
const MAX_SPOT_SHARE = 1 / 3
/** Upstreams are given back only if the highest demand would use at most this share of the rest. */
const MAX_LOAD_AFTER_REMOVAL = 0.6

/**
 * Decides on the next order for the upstreams of a service, at most one at a time. More are ordered when work has waited
 * for longer than new upstreams need to start, in the cheapest failure domain with room; one is given back, in the
 * most expensive failure domain, when the highest demand has been far below the capacity for a long time.
 */
export function planScaling (input: ScalingPlanInput): ScalingOrder | undefined {
  return planGrowth(input) ?? planRemoval(input)
}

function planGrowth (input: ScalingPlanInput): ScalingOrder | undefined {
  const { sustained, slotsPerUpstream } = input
  const total = countAll(input.domains)
  const missingSlots = sustained.running + sustained.waiting - total * slotsPerUpstream
  if (sustained.waiting === 0 || missingSlots <= 0) return undefined
  const wanted = Math.min(Math.ceil(missingSlots / slotsPerUpstream), Math.max(1, Math.floor(total * MAX_STEP_SHARE)))
  const options = input.domains
    .flatMap(domain => [true, false].map(isSpot => ({ domain, isSpot, room: roomIn(input, domain, isSpot, total) })))
    .filter(({ domain, isSpot, room }) => room > 0 && input.mayOrder(domain.failureDomain, isSpot))
    .sort((a, b) => priceOf(input, a.domain, a.isSpot) - priceOf(input, b.domain, b.isSpot) || sizeOf(a.domain) - sizeOf(b.domain))
  const [best] = options
  if (best === undefined) return undefined
  return toOrder(input, best.domain, best.isSpot, Math.min(wanted, best.room))
}

function planRemoval (input: ScalingPlanInput): ScalingOrder | undefined {
  const { peakSlots, slotsPerUpstream, config } = input
  if (peakSlots === undefined || input.sustained.waiting > 0) return undefined
  if (peakSlots > (countAll(input.domains) - 1) * slotsPerUpstream * MAX_LOAD_AFTER_REMOVAL) return undefined
  const [best] = input.domains
    .flatMap(domain => [true, false].map(isSpot => ({ domain, isSpot })))
    .filter(({ domain, isSpot }) => sizeOf(domain) > config.minCount && countOf(domain, isSpot) > 0 && input.mayOrder(domain.failureDomain, isSpot))
    .sort((a, b) => priceOf(input, b.domain, b.isSpot) - priceOf(input, a.domain, a.isSpot) || sizeOf(b.domain) - sizeOf(a.domain))
  return best === undefined ? undefined : toOrder(input, best.domain, best.isSpot, -1)
}

/** How many upstreams of one kind a failure domain may get; the limits apply to both kinds together. */
function roomIn ({ config, domains }: ScalingPlanInput, domain: DomainCapacity, isSpot: boolean, total: number): number {
  const room = config.maxCount - sizeOf(domain)
  if (!isSpot) return room
  if (config.spotPriceShare === undefined) return 0
  const spotCount = domains.reduce((sum, { spot }) => sum + spot, 0)
  // With n more of them, (spotCount + n) / (total + n) must stay within the share.
  return Math.min(room, Math.floor((MAX_SPOT_SHARE * total - spotCount) / (1 - MAX_SPOT_SHARE)))
}

function priceOf ({ config }: ScalingPlanInput, { failureDomain }: DomainCapacity, isSpot: boolean): number {
  return (config.priceByDomain.get(failureDomain) ?? 1) * (isSpot ? config.spotPriceShare ?? 1 : 1)
}

function toOrder ({ service }: ScalingPlanInput, domain: DomainCapacity, isSpot: boolean, change: number): ScalingOrder {
  return { service, failureDomain: domain.failureDomain, isSpot, count: countOf(domain, isSpot) + change }
}

function countOf (domain: DomainCapacity, isSpot: boolean): number {
  return isSpot ? domain.spot : domain.regular
}

function sizeOf ({ regular, spot }: DomainCapacity): number {
  return regular + spot
}

function countAll (domains: readonly DomainCapacity[]): number {
  return domains.reduce((sum, domain) => sum + sizeOf(domain), 0)
}
