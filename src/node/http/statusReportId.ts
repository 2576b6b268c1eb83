import { createServiceId } from '../../common/kernel/createServiceId.js'
import type { StatusReport } from './StatusReport.js'

/** Identifier of the status report. */
export const statusReportId = createServiceId<StatusReport>('statusReport')
