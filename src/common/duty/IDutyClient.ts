import type { DutyOutcome } from './DutyOutcome.js'
import type { UsageReport } from './UsageReport.js'

/** Calls that one entry at a time makes to the platform. Each makes one attempt, within a time-out, and does not reject. */
export interface IDutyClient {
  reportUsage (report: UsageReport, holder: string, fencingToken: number): Promise<DutyOutcome>
}
