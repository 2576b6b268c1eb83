/** A generation for a caller or a sample. */
export interface GenerationRequest {
  requestId: string
  organisation: string
  service: string
  /** Model name at the engine: `{organisation}/{trainer}`, or the service name for the base model. */
  model: string
  workClass: string
  size: 'short' | 'long'
  prompt: string
  maxTokens: number
  /** Further sampling parameters, passed on to the engine as they are. */
  parameters: Record<string, unknown>
  deadlineAtMs: number
  signal: AbortSignal
  /** Set for samples: a chunk without a version stamp is discarded and its tokens are generated on another engine. */
  needsOrigin: boolean
}
