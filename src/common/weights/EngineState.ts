import type { z } from 'zod'
import type { engineStateSchema } from './engineStateSchema.js'

/** State that an engine reports. */
export type EngineState = z.infer<typeof engineStateSchema>
