/** Requests in flight on upstreams as reported by other entries. Reports expire after `reportTtlMs`. */
export class PeerLoads {
  private readonly _loads = new Map<string, Map<string, { outstanding: number, atMs: number }>>()

  constructor (private readonly _reportTtlMs: number) {}

  record (upstreamId: string, peerId: string, outstanding: number): void {
    let byPeer = this._loads.get(upstreamId)
    if (byPeer === undefined) {
      byPeer = new Map()
      this._loads.set(upstreamId, byPeer)
    }
    byPeer.set(peerId, { outstanding, atMs: performance.now() })
  }

  /** Sum of the unexpired reports by upstream id. An upstream whose last report has expired is returned once more with 0. */
  sums (): Map<string, number> {
    const expiryMs = performance.now() - this._reportTtlMs
    const sums = new Map<string, number>()
    for (const [upstreamId, byPeer] of this._loads) {
      for (const [peerId, report] of byPeer) {
        if (report.atMs < expiryMs) byPeer.delete(peerId)
      }
      if (byPeer.size === 0) this._loads.delete(upstreamId)
      sums.set(upstreamId, [...byPeer.values()].reduce((sum, report) => sum + report.outstanding, 0))
    }
    return sums
  }
}
