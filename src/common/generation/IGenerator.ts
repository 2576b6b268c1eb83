import type { Result } from 'neverthrow'
import type { GenerationChunk } from './GenerationChunk.js'
import type { GenerationError } from './GenerationError.js'
import type { GenerationRequest } from './GenerationRequest.js'

/** Runs generations on engines and resumes them on another engine after a crash. */
export interface IGenerator {
  /** Yields chunks; the last item is a chunk with `finishReason` or an error. */
  generate (request: GenerationRequest): AsyncIterable<Result<GenerationChunk, GenerationError>>
}
