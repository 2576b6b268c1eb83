import type { z } from 'zod'
import type { routeFaultsSchema } from './routeFaultsSchema.js'

/** Faults of one route of the fault proxy. */
export type RouteFaults = z.infer<typeof routeFaultsSchema>
