/** What a balancing policy may know of the request that it places. */
export interface BalancerQuery {
  size: 'short' | 'long'
  /** Estimated units of work: 1 for a call, tokens for a generation. */
  units: number
  /** Hash of the prompt's first part, for prefix affinity; absent for calls. */
  prefixHash?: string
}
