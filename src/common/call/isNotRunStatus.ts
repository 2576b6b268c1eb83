/** Statuses that promise a caller that its request has not run and never will: 408, 421, 429 and 503. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503]

/** Whether a response with this status promises its caller that the request has not run. */
export function isNotRunStatus (status: number): boolean {
  return NOT_RUN_STATUSES.includes(status)
}
