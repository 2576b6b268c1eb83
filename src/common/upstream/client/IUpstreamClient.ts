import type { ResultAsync } from 'neverthrow'
import type { UpstreamResponse } from './UpstreamResponse.js'
import type { UpstreamError } from './UpstreamError.js'
import type { UpstreamRequest } from './UpstreamRequest.js'
import type { UpstreamStream } from './UpstreamStream.js'

/** Sends one request to one upstream; never repeats it. */
export interface IUpstreamClient {
  /** Resolves with a whole answer only: complete framing and a matching `x-request-id` echo. */
  call (address: string, request: UpstreamRequest, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError>
  /** Opens an SSE stream; aborting the signal closes the connection, which cancels the generation. */
  stream (address: string, request: UpstreamRequest, signal: AbortSignal): ResultAsync<UpstreamStream, UpstreamError>
}
