import type { ListenerResponse } from './ListenerResponse.js'

/** How the gateway serves one request that only the leader may process. */
export interface GatewayOptions {
  requestId: string
  /** How long the request is retried while no leader accepts it. */
  retryForMs: number
  /** How long the leader may hold the request before it responds, because of a long poll or a durable write. */
  leaderHoldMs: number
  /**
   * Serves the request without the leader, for one that only reads; resolves with undefined if that is impossible. Used
   * when the leader does not respond in time, or cannot serve the request itself.
   */
  serveWithoutLeader?: () => Promise<ListenerResponse | undefined>
}
