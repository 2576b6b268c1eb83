import { z } from 'zod'

/** Faults of the load balancer. */
export const balancerFaultsSchema = z.strictObject({
  /** Resets new connections. */
  outage: z.boolean().default(false)
})
