/** What the configuration says of the engines of a service. */
export interface EngineConfig {
  /** Memory for the tokens of running requests and of kept prompts together. */
  kvCapacityTokens: number
  /** Tokens that one event of a stream stands for. */
  tokensPerEvent: number
}
