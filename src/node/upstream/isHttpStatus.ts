const MIN_STATUS = 100
const MAX_STATUS = 599

/** Whether a status code is valid in HTTP (RFC 9110, section 15). Nothing that a response with another one says can be relied on. */
export function isHttpStatus (status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS
}
