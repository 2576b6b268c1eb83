interface LastAccepted { incarnation: string, sequence: bigint, atMs: number }

/**
 * Rejects replayed datagrams, datagrams that arrive out of order and those of earlier processes of a sender. The
 * state of a sender expires `senderTtlMs` after its last accepted datagram, because a replaced host whose clock is
 * behind starts with a lower incarnation.
 */
export class ReplayGuard {
  private readonly _lastAccepted = new Map<string, LastAccepted>()

  constructor (private readonly _senderTtlMs: number) {}

  /** Returns true and records the datagram if it is newer than all accepted datagrams of its sender. */
  accept (sender: string, incarnation: string, sequence: bigint): boolean {
    const known = this._lastAccepted.get(sender)
    if (known !== undefined && performance.now() - known.atMs < this._senderTtlMs) {
      if (incarnation < known.incarnation) return false
      if (incarnation === known.incarnation && sequence <= known.sequence) return false
    }
    this._lastAccepted.set(sender, { incarnation, sequence, atMs: performance.now() })
    return true
  }
}
