import type { Violation } from './checker/Violation.js'

/** Formats a violation and its records as one line each. */
export function formatViolation ({ rule, subject, message, records }: Violation): string[] {
  return [`violation rule="${rule}" subject="${subject}" ${message}`, ...records.map(item => `  ${JSON.stringify(item)}`)]
}
