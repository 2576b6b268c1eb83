import type { z } from 'zod'
import type { engineFaultsSchema } from './engineFaultsSchema.js'

/** Active faults of an engine. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>
