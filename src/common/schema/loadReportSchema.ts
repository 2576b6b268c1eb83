import { z } from 'zod'

/** Load that an upstream reports about itself. Reports are delayed by an unknown time. */
export const loadReportSchema = z.object({
  boot_id: z.string(),
  state: z.enum(['serving', 'leaving']),
  running: z.number().min(0),
  waiting: z.number().min(0),
  /** Maximum number of requests that the upstream runs concurrently. */
  capacity: z.number().min(1),
  reported_at_ms: z.number()
})
