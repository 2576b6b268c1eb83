import { checkAtMostOnce } from './checkAtMostOnce.js'
import { checkCompletion } from './checkCompletion.js'
import { checkContracts } from './checkContracts.js'
import { checkExactlyOnce } from './checkExactlyOnce.js'
import { checkLeaving } from './checkLeaving.js'
import { checkNotRun } from './checkNotRun.js'
import { checkOrigin } from './checkOrigin.js'
import { checkPlannedStop } from './checkPlannedStop.js'
import { checkOwnResponse } from './checkOwnResponse.js'
import { checkStaleness } from './checkStaleness.js'
import type { History } from './History.js'
import type { Violation } from './Violation.js'

const CHECKS = [
  checkOrigin, checkStaleness, checkExactlyOnce, checkOwnResponse, checkNotRun,
  checkAtMostOnce, checkLeaving, checkPlannedStop, checkContracts, checkCompletion
]

/** Checks a history against all rules and returns the violations. */
export function checkHistory (history: History): Violation[] {
  return CHECKS.flatMap(check => check(history))
}
