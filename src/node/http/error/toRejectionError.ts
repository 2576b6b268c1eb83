import type { EntrySettings } from '../../../common/settings/EntrySettings.js'
import type { ApiError } from './ApiError.js'

/** Describes why a request was rejected before it was passed on: over a limit (413, 431), not received in time (408), or no room (503). */
export function toRejectionError (status: number, { maxBodyBytes, maxHeaderBytes }: EntrySettings): ApiError {
  switch (status) {
    case 413: return { status, kind: 'body_too_large', message: `the body may have at most ${maxBodyBytes} bytes`, outcome: 'not_run' }
    case 431: return { status, kind: 'headers_too_large', message: `the request headers may have at most ${maxHeaderBytes} bytes`, outcome: 'not_run' }
    case 408: return { status, kind: 'request_timeout', message: 'the request was not received in time', outcome: 'not_run' }
    default: return { status, kind: 'overloaded', message: 'the entry has no memory for the request', outcome: 'not_run' }
  }
}
