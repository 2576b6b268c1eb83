import { checkAtMostOnce } from './checkAtMostOnce.js'
import { checkContracts } from './checkContracts.js'
import { checkEnds } from './checkEnds.js'
import { checkLeaving } from './checkLeaving.js'
import { checkNotRun } from './checkNotRun.js'
import { checkOrigin } from './checkOrigin.js'
import { checkPlannedStop } from './checkPlannedStop.js'
import { checkResponses } from './checkResponses.js'
import { checkSamplesOnce } from './checkSamplesOnce.js'
import { checkStaleness } from './checkStaleness.js'
import type { History } from './History.js'
import type { Violation } from './Violation.js'

const RULES = [
  checkOrigin, checkStaleness, checkSamplesOnce, checkResponses, checkNotRun,
  checkAtMostOnce, checkLeaving, checkPlannedStop, checkContracts, checkEnds
]

/** All broken rules of a history. */
export function checkHistory (history: History): Violation[] {
  return RULES.flatMap(rule => rule(history))
}
