/** Properties of a request that a balancing policy may use. */
export interface BalancerQuery {
  size: 'short' | 'long'
  /** Estimated units of work: 1 for a call, number of tokens for a generation. */
  units: number
  /** Hash of the start of the prompt, for prefix affinity; absent for calls. */
  prefixHash?: string
}
