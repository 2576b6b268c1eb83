interface Position { incarnation: string, sequence: bigint }

/** Accepts each datagram of a sender once and none of its earlier processes. */
export class ReplayGuard {
  private readonly _positions = new Map<string, Position>()

  /** True when the datagram is newer than all accepted ones of its sender. */
  accept (sender: string, incarnation: string, sequence: bigint): boolean {
    const known = this._positions.get(sender)
    if (known !== undefined) {
      if (incarnation < known.incarnation) return false
      if (incarnation === known.incarnation && sequence <= known.sequence) return false
    }
    this._positions.set(sender, { incarnation, sequence })
    return true
  }
}
