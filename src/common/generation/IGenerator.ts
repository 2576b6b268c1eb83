import type { Result } from 'neverthrow'
import type { GenerationChunk } from './GenerationChunk.js'
import type { GenerationError } from './GenerationError.js'
import type { GenerationRequest } from './GenerationRequest.js'

/** Runs generations on engines and resumes them on another engine after a failure. */
export interface IGenerator {
  /** Yields chunks and ends with a chunk that has a `finishReason`, or with an error. */
  generate (request: GenerationRequest): AsyncIterable<Result<GenerationChunk, GenerationError>>
}
