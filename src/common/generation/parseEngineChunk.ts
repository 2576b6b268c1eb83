import type { EngineChunk } from './EngineChunk.js'
import { engineChunkSchema } from './engineChunkSchema.js'

/** Parses the data of one SSE event; undefined when it is no valid chunk. */
export function parseEngineChunk (data: string): EngineChunk | undefined {
  try {
    return engineChunkSchema.safeParse(JSON.parse(data)).data
  } catch {
    return undefined
  }
}
