import type { ChaosResult } from './ChaosResult.js'
import { formatViolation } from './formatViolation.js'

/** Formats the report of a run: each violation with its records, then a line with the totals. */
export function formatResult (seed: number, { history, violations, logFolder }: ChaosResult): string {
  const lines = violations.flatMap(formatViolation)
  if (logFolder !== undefined) lines.push(`logs and history: ${logFolder}`)
  lines.push(`chaos: seed=${seed} requests=${history.calls.length} faults=${history.faults.length} violations=${violations.length}`)
  return lines.join('\n')
}
