import type { Upstream } from '../Upstream.js'

/** Time constant of the exponential decay of a load report's weight. */
const REPORT_DECAY_MS = 1_000

/**
 * Estimates the requests of all entries at an upstream: those of this entry, which are known exactly, plus
 * those of other entries by gossip or by the load report, whichever is higher. The weight of the report
 * decays with its age, because its requests complete before a newer report shows it.
 */
export function estimateOutstanding (upstream: Upstream, nowMs: number): number {
  const { load, loadReadAtMs, outstanding, outstandingAtReport, peerOutstanding } = upstream
  if (load === undefined || loadReadAtMs === undefined) {
    return outstanding + peerOutstanding
  }
  const reportedOfPeers = Math.max(0, load.running + load.waiting - (outstandingAtReport ?? 0))
  const weight = Math.exp(-Math.max(0, nowMs - loadReadAtMs) / REPORT_DECAY_MS)
  return outstanding + Math.max(peerOutstanding, reportedOfPeers * weight)
}
