import type { StepView } from './StepView.js'

/**
 * Time after its deadline for which a step yields; trainers give up 4.5 s after it. From then on it is ordered by its
 * deadline again, and so comes first, so that no accepted step is starved.
 */
const MAX_YIELD_MS = 4500

/** Whether a step has missed its deadline and gives way to those in time. */
export function isYielding ({ deadlineAtMs }: StepView, nowMs: number): boolean {
  return nowMs > deadlineAtMs && nowMs <= deadlineAtMs + MAX_YIELD_MS
}
