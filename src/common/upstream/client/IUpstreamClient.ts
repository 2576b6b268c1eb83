import type { ResultAsync } from 'neverthrow'
import type { UpstreamResponse } from './UpstreamResponse.js'
import type { UpstreamError } from './UpstreamError.js'
import type { UpstreamRequest } from './UpstreamRequest.js'
import type { UpstreamStream } from './UpstreamStream.js'

/** Sends a request to an upstream once, without retries. */
export interface IUpstreamClient {
  /** Resolves only with a response whose status is valid in HTTP, whose framing is complete and whose `x-request-id` matches the request. */
  call (address: string, request: UpstreamRequest, signal: AbortSignal): ResultAsync<UpstreamResponse, UpstreamError>
  /** Opens an SSE stream; aborting the signal closes the connection, which cancels the generation. */
  stream (address: string, request: UpstreamRequest, signal: AbortSignal): ResultAsync<UpstreamStream, UpstreamError>
}
