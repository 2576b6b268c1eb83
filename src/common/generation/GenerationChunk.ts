import type { OriginRange } from '../schema/OriginRange.js'

/** Consecutive tokens from an engine. `origin`, if present, covers exactly these tokens. */
export interface GenerationChunk {
  text: string
  tokenIds: number[]
  origin?: OriginRange
  /** Set on the last chunk of a complete generation. */
  finishReason?: string
}
