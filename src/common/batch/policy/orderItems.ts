import type { ItemState } from '../record/ItemState.js'
import type { LengthEstimator } from './LengthEstimator.js'
import { isYielding } from './isYielding.js'
import { rankItems } from './rankItems.js'
import type { StepView } from './StepView.js'

interface OrderedItem<T extends StepView> { step: T, state: ItemState, urgency: number, organisation: string }

const NEEDED_IN_TIME = 0
const NEEDED_LATE = 1
const SPARE = 2

/**
 * Returns the waiting items of all steps in dispatch order: by priority; then groups that trainers wait for, of steps
 * before their deadline, of late steps, and last the spare groups; then by fair shares of organisations; then by
 * deadline, and within a step as `rankItems` says.
 */
export function orderItems<T extends StepView> (steps: readonly T[], estimator: LengthEstimator, nowMs: number): Array<{ step: T, state: ItemState }> {
  const byDeadline = [...steps].sort((a, b) => a.priority - b.priority || a.deadlineAtMs - b.deadlineAtMs)
  const items = byDeadline.flatMap(step => {
    const urgency = isYielding(step, nowMs) ? NEEDED_LATE : NEEDED_IN_TIME
    const organisation = step.batch.spec.organisation ?? ''
    return rankItems(step.batch, estimator).map(({ state, isNeeded }): OrderedItem<T> => ({ step, state, organisation, urgency: isNeeded ? urgency : SPARE }))
  })
  items.sort((a, b) => a.step.priority - b.step.priority || a.urgency - b.urgency)
  const running = countRunning(steps)
  return running.size < 2 ? items : shareFairly(items, running)
}

function countRunning (steps: readonly StepView[]): Map<string, number> {
  const running = new Map<string, number>()
  for (const { batch } of steps) {
    const organisation = batch.spec.organisation ?? ''
    running.set(organisation, (running.get(organisation) ?? 0) + batch.items.filter(({ status }) => status === 'running').length)
  }
  return running
}

/** Within items of equal priority and urgency, gives each next place to the organisation with the fewest runs. */
function shareFairly<T extends StepView> (items: ReadonlyArray<OrderedItem<T>>, running: Map<string, number>): Array<OrderedItem<T>> {
  const ordered: Array<OrderedItem<T>> = []
  for (let start = 0; start < items.length;) {
    const first = items[start]
    const queues = new Map<string, Array<OrderedItem<T>>>()
    let end = start
    for (; end < items.length && items[end]?.step.priority === first?.step.priority && items[end]?.urgency === first?.urgency; end++) {
      const item = items[end]
      if (item === undefined) continue
      const queue = queues.get(item.organisation)
      if (queue === undefined) queues.set(item.organisation, [item])
      else queue.push(item)
    }
    ordered.push(...mergeQueues([...queues], running))
    start = end
  }
  return ordered
}

function mergeQueues<T extends StepView> (queues: Array<[string, Array<OrderedItem<T>>]>, running: Map<string, number>): Array<OrderedItem<T>> {
  const merged: Array<OrderedItem<T>> = []
  const positions = new Map(queues.map(([organisation]) => [organisation, 0]))
  for (;;) {
    const open = queues.filter(([organisation, queue]) => (positions.get(organisation) ?? 0) < queue.length)
    if (open.length === 0) return merged
    const [organisation, queue] = open.reduce((best, next) => (running.get(next[0]) ?? 0) < (running.get(best[0]) ?? 0) ? next : best)
    const position = positions.get(organisation) ?? 0
    const item = queue[position]
    if (item !== undefined) merged.push(item)
    positions.set(organisation, position + 1)
    running.set(organisation, (running.get(organisation) ?? 0) + 1)
  }
}
