import type { ResultAsync } from 'neverthrow'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import type { CallError } from './CallError.js'
import type { CallRequest } from './CallRequest.js'

/** Forwards calls to upstreams: lookups with retries and hedging, tickets at most once. */
export interface IForwarder {
  forward (request: CallRequest): ResultAsync<UpstreamResponse, CallError>
}
