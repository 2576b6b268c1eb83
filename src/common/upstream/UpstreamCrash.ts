import type { Upstream } from './Upstream.js'

/** Event of an upstream that crashed or restarted. */
export interface UpstreamCrash {
  upstream: Upstream
  /** Boot id that the upstream had before. */
  bootId: string
  /** Requests of this entry that were in flight or may still have been running; empty when the upstream was leaving. */
  fingerprints: string[]
}
