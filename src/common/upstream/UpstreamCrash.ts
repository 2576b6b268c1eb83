import type { Upstream } from './Upstream.js'

/** An upstream died or restarted. */
export interface UpstreamCrash {
  upstream: Upstream
  /** Boot id that ended. */
  bootId: string
  /** Requests of this entry that were in flight; empty when the upstream was leaving. */
  fingerprints: string[]
}
