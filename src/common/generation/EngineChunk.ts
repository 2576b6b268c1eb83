import type { z } from 'zod'
import type { engineChunkSchema } from './engineChunkSchema.js'

/** One SSE chunk of an engine's completion stream. */
export type EngineChunk = z.infer<typeof engineChunkSchema>
