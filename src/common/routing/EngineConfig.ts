/** Configuration of the engines of a service. */
export interface EngineConfig {
  /** KV cache capacity, shared by running requests and cached prompts. */
  kvCapacityTokens: number
  /** Number of tokens in one event of a stream. */
  tokensPerEvent: number
}
