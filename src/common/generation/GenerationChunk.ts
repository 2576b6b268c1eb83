import type { OriginRange } from '../schema/OriginRange.js'

/** Tokens that an engine produced, in order; `origin` covers exactly these tokens when stamped. */
export interface GenerationChunk {
  text: string
  tokenIds: number[]
  origin?: OriginRange
  /** Set on the last chunk of a whole generation. */
  finishReason?: string
}
