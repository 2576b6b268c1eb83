import { z } from 'zod'

/** Faults of the load balancer. */
export const balancerFaultsSchema = z.strictObject({
  /** Resets new connections instead of forwarding them. */
  outage: z.boolean().default(false)
})
