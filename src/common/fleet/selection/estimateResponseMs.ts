import { readAgedLoad } from './readAgedLoad.js'
import type { UpstreamKnowledge } from './UpstreamKnowledge.js'

/** Assumed response time of an upstream that has not responded yet. */
const DEFAULT_RESPONSE_MS = 40

/**
 * Expected response time of a further request, from the average response time, the slowdown factor and the requests in
 * flight. Each own request counts `ownRequestWeight` times, at most as often as the upstream has slots.
 */
export function estimateResponseMs (knowledge: UpstreamKnowledge, nowMs: number, ownRequestWeight = 1): number {
  const slots = Math.max(1, knowledge.slots)
  const { outstandingFromOthers, slowdownFactor } = readAgedLoad(knowledge, nowMs)
  const inFlight = knowledge.outstanding * Math.min(slots, ownRequestWeight) + outstandingFromOthers
  const queueFactor = 1 + Math.max(0, inFlight + 1 - slots) / slots
  // Some upstreams slow down before all slots are in use, so load below the limit counts as well.
  const loadFactor = 1 + 0.5 * inFlight / slots
  return (knowledge.averageMs ?? DEFAULT_RESPONSE_MS) * slowdownFactor * queueFactor * loadFactor
}
