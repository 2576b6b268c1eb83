/** How the gateway serves one request that only the leader may process. */
export interface GatewayOptions {
  requestId: string
  /** How long the request is retried while no leader accepts it. */
  retryForMs: number
  /** How long the leader may hold the request before it responds, because of a long poll or a durable write. */
  leaderHoldMs: number
}
