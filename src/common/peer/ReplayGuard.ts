interface Position { incarnation: string, sequence: bigint, atMs: number }

/**
 * Accepts each datagram of a sender once and none of its earlier processes. A sender that was silent
 * for `forgetMs` is forgotten, because a replaced host whose clock is behind starts a lower incarnation.
 */
export class ReplayGuard {
  private readonly _positions = new Map<string, Position>()

  constructor (private readonly _forgetMs: number) {}

  /** True when the datagram is newer than all accepted ones of its sender. */
  accept (sender: string, incarnation: string, sequence: bigint): boolean {
    const known = this._positions.get(sender)
    if (known !== undefined && performance.now() - known.atMs < this._forgetMs) {
      if (incarnation < known.incarnation) return false
      if (incarnation === known.incarnation && sequence <= known.sequence) return false
    }
    this._positions.set(sender, { incarnation, sequence, atMs: performance.now() })
    return true
  }
}
