import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import type { ApiError } from './ApiError.js'
import { toErrorBody } from './toErrorBody.js'

const ERRORS: Record<string, Pick<ApiError, 'status' | 'kind' | 'message'>> = {
  HPE_HEADER_OVERFLOW: { status: 431, kind: 'headers_too_large', message: 'the request headers are too large' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, kind: 'request_timeout', message: 'the request was not received in time' }
}
const MALFORMED = { status: 400, kind: 'malformed_request', message: 'the request is not valid HTTP' }

/** Responds to a request that could not be parsed, and closes the connection. */
export function writeClientError (socket: Duplex, code: string | undefined): void {
  const error: ApiError = { ...(ERRORS[code ?? ''] ?? MALFORMED), outcome: 'not_run' }
  const body = JSON.stringify(toErrorBody(error))
  socket.end(`HTTP/1.1 ${error.status} ${STATUS_CODES[error.status] ?? ''}\r\nConnection: close\r\n` +
    `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
}
