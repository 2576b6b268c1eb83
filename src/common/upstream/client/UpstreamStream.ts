import type { Result } from 'neverthrow'
import type { UpstreamError } from './UpstreamError.js'

/** A streamed response. Iterating yields the data of each SSE event, including `[DONE]`. */
export interface UpstreamStream {
  status: number
  headers: Record<string, string>
  events: AsyncIterable<Result<string, UpstreamError>>
}
