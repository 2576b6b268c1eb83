/** Request for a generation, for a caller or for a sample of a trainer. */
export interface GenerationRequest {
  requestId: string
  organisation: string
  service: string
  /** Model name on the engine: `{organisation}/{trainer}`, or the service name for the base model. */
  model: string
  /** Name of the work class, or `trainer/{trainer}` for samples. */
  workClass: string
  size: 'short' | 'long'
  prompt: string
  maxTokens: number
  /** Further sampling parameters, sent to the engine unchanged. */
  parameters: Record<string, unknown>
  /** In the time of `performance.now()`. */
  deadlineAtMs: number
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
  /** Set for samples: a chunk without a weight version is discarded and its tokens are generated on another engine. */
  needsOrigin: boolean
}
