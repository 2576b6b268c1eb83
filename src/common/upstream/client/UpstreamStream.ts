import type { Result } from 'neverthrow'
import type { UpstreamError } from './UpstreamError.js'

/** A streamed answer. Iterating yields the data of each SSE event, `[DONE]` included. */
export interface UpstreamStream {
  status: number
  headers: Record<string, string>
  events: AsyncIterable<Result<string, UpstreamError>>
}
