import { randomUUID } from 'node:crypto'

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,128}$/

/** Returns the request id that a client has sent, or a new one if there is none or it is not valid. */
export function toRequestId (header: string | string[] | undefined): string {
  return typeof header === 'string' && REQUEST_ID_PATTERN.test(header) ? header : randomUUID()
}
