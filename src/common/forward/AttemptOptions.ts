/** Parameters of one attempt of a call. */
export interface AttemptOptions {
  /** `x-request-id` of the attempt. */
  requestId: string
  /** Ids of upstreams that must not be used. */
  excluded: ReadonlySet<string>
  /** Identifies equal requests of an organisation, for the suspect table. */
  fingerprint: string
  /** Aborts the wait for a slot. */
  queueSignal: AbortSignal
  /** Aborts the call once it has been sent. */
  callSignal: AbortSignal
  /** Called right before sending; a returned message cancels the attempt. */
  checkBeforeSend? (): string | undefined
  /** Called when a slot has been acquired, right before the request is sent. */
  onDispatched? (upstreamId: string): void
}
