import type { z } from 'zod'
import type { routeFaultsSchema } from './routeFaultsSchema.js'

/** Active faults of a route of the fault proxy. */
export type RouteFaults = z.infer<typeof routeFaultsSchema>
