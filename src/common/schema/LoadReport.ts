import type { z } from 'zod'
import type { loadReportSchema } from './loadReportSchema.js'

/** Load that an upstream reports about itself. */
export type LoadReport = z.infer<typeof loadReportSchema>
