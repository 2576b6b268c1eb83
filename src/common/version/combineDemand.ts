/**
 * Work of open steps is due now, that of the average only with the next step. A weight of 2 gave the worst trainer more
 * groups in time than 1 in the model of `docs/design/batch-order.md`.
 */
const REMAINING_WEIGHT = 2

/** Demand by which a model gets engines, from its average per step and what its open steps have left, in events. */
export function combineDemand (averageEvents: number, remainingEvents: number): number {
  return averageEvents + REMAINING_WEIGHT * remainingEvents
}
