import type { Upstream } from '../Upstream.js'

/** Time constant with which a load report loses weight. */
const REPORT_DECAY_MS = 1_000

/**
 * Requests that an upstream holds from all entries: this entry's own, which are known exactly, and
 * those of others by the peers' gossip or by the load report, whichever is higher. The report's part
 * falls with its age, because the requests in it end while no newer report shows it.
 */
export function estimateOutstanding (upstream: Upstream, nowMs: number): number {
  const { load, loadReadAtMs, outstanding, outstandingAtReport, peerOutstanding } = upstream
  if (load === undefined || loadReadAtMs === undefined) {
    return outstanding + peerOutstanding
  }
  const others = Math.max(0, load.running + load.waiting - (outstandingAtReport ?? 0))
  const weight = Math.exp(-Math.max(0, nowMs - loadReadAtMs) / REPORT_DECAY_MS)
  return outstanding + Math.max(peerOutstanding, others * weight)
}
