/** How one attempt of a call is made. */
export interface AttemptOptions {
  /** `x-request-id` of the attempt. */
  requestId: string
  excluded: ReadonlySet<string>
  fingerprint: string
  /** Ends the wait for a place. */
  queueSignal: AbortSignal
  /** Ends the call itself. */
  callSignal: AbortSignal
  /** Called right before sending; a message stops the attempt. */
  checkBeforeSend? (): string | undefined
  onDispatched? (upstreamId: string): void
}
