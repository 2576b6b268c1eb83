import type { FleetUpstream } from '../../FleetUpstream.js'
import { chooseByCost } from '../chooseByCost.js'
import { chooseUpstream } from '../chooseUpstream.js'
import { estimateResponseMs } from '../estimateResponseMs.js'
import type { SelectionContext } from './SelectionContext.js'
import type { UpstreamSelector } from './UpstreamSelector.js'

const FIGURE_TIME_CONSTANT_MS = 200
const WIDE_TIES_SHARE = 0.5

type Cost = (upstream: FleetUpstream, context: SelectionContext) => number

/** Expected response time without the weight of own requests. */
const plainCost: Cost = ({ knowledge }, { nowMs }) => estimateResponseMs(knowledge, nowMs)

/** The cost with the given number of requests of others in the place of those in the load reading. */
function withOthers (estimateOthers: (upstream: FleetUpstream, context: SelectionContext) => number): Cost {
  return (upstream, context) => {
    const { knowledge } = upstream
    const waiting = Math.max(0, estimateOthers(upstream, context)) + knowledge.outstanding
    const load = { running: 0, waiting, slots: knowledge.slots, slowdownFactor: 1, atMs: context.nowMs }
    return estimateResponseMs({ ...knowledge, load }, context.nowMs)
  }
}

const withOwnOnly = withOthers(() => 0)
const withAgedFigures = withOthers(({ knowledge: { load, outstanding } }, { nowMs }) =>
  load === undefined ? 0 : (load.running + load.waiting - outstanding) * Math.exp((load.atMs - nowMs) / FIGURE_TIME_CONSTANT_MS))
const withHints = withOthers(({ member, outstanding }, { hints }) => hints[Number(member.id)]! - outstanding)
const withReservation = withOthers(({ member, outstanding }, { reserved }) => reserved[Number(member.id)]! - outstanding)

function healthyOf (candidates: FleetUpstream[]): FleetUpstream[] {
  const healthy = candidates.filter(upstream => !upstream.isExcluded)
  return healthy.length > 0 ? healthy : candidates
}

function byCost (cost: Cost): UpstreamSelector {
  return (candidates, context) => chooseByCost(healthyOf(candidates), upstream => cost(upstream, context), context.random)
}

/** Compares two random candidates. */
function ofTwo (cost: Cost): UpstreamSelector {
  return (candidates, context) => {
    const remaining = [...healthyOf(candidates)]
    const draw = (): FleetUpstream[] => remaining.splice(Math.floor(context.random() * remaining.length), 1)
    return chooseByCost([...draw(), ...draw()], upstream => cost(upstream, context), context.random)
  }
}

const wideTies: UpstreamSelector = (candidates, context) => {
  const costs = healthyOf(candidates).map(upstream => ({ upstream, cost: plainCost(upstream, context) }))
  const limit = (1 + WIDE_TIES_SHARE) * Math.min(...costs.map(({ cost }) => cost))
  const tied = costs.filter(({ cost }) => cost <= limit)
  return tied[Math.floor(context.random() * tied.length)]?.upstream
}

/** Keeps to a share of the slots of each server, and needs to know the number of deciders. */
const slotShare: UpstreamSelector = (candidates, context) => {
  const healthy = healthyOf(candidates)
  const open = healthy.filter(({ outstanding, member }) => outstanding < Math.max(1, member.slots / context.deciders))
  return byCost(plainCost)(open.length > 0 ? open : healthy, context)
}

/** Selections that the design note compares, by name. */
export const alternativeSelectors: Record<string, UpstreamSelector> = {
  before: byCost(plainCost),
  chosen: (candidates, { nowMs, random }) => chooseUpstream(candidates, nowMs, random),
  'two, own in flight': ofTwo(withOwnOnly),
  'weights by age': byCost(withAgedFigures),
  'randomised ties': wideTies,
  'share of slots': slotShare,
  'hints between peers': byCost(withHints),
  'reservation at engine': byCost(withReservation)
}
