import type { ResultAsync } from 'neverthrow'
import type { UpstreamResponse } from '../upstream/client/UpstreamResponse.js'
import type { CallError } from './CallError.js'
import type { CallRequest } from './CallRequest.js'

/** Runs lookups (with retry and hedging) and never-repeat calls (at most once). */
export interface IForwarder {
  forward (request: CallRequest): ResultAsync<UpstreamResponse, CallError>
}
