/** Requests that other entries report in flight on upstreams; old reports no longer count. */
export class PeerLoads {
  private readonly _loads = new Map<string, Map<string, { outstanding: number, atMs: number }>>()

  constructor (private readonly _validMs: number) {}

  record (upstreamId: string, peerId: string, outstanding: number): void {
    let byPeer = this._loads.get(upstreamId)
    if (byPeer === undefined) {
      byPeer = new Map()
      this._loads.set(upstreamId, byPeer)
    }
    byPeer.set(peerId, { outstanding, atMs: performance.now() })
  }

  /** Sum of the valid reports by upstream, 0 included once after the last report has expired. */
  sums (): Map<string, number> {
    const validFrom = performance.now() - this._validMs
    const sums = new Map<string, number>()
    for (const [upstreamId, byPeer] of this._loads) {
      for (const [peerId, report] of byPeer) {
        if (report.atMs < validFrom) byPeer.delete(peerId)
      }
      if (byPeer.size === 0) this._loads.delete(upstreamId)
      sums.set(upstreamId, [...byPeer.values()].reduce((sum, report) => sum + report.outstanding, 0))
    }
    return sums
  }
}
