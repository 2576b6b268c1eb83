import type { z } from 'zod'
import type { engineFaultsSchema } from './engineFaultsSchema.js'

/** Faults of an engine. */
export type EngineFaults = z.infer<typeof engineFaultsSchema>
