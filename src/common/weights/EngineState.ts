import type { z } from 'zod'
import type { engineStateSchema } from './engineStateSchema.js'

/** State that an engine reports, see `engineStateSchema`. */
export type EngineState = z.infer<typeof engineStateSchema>
