import { Emitter } from '../kernel/Emitter.js'

/** How long a run without a response counts as running; it may still be queued at its upstream. */
const UNRESOLVED_RUN_MS = 1_000
/** How long a run named by a peer counts as running unless the peer names it again. */
const PEER_RUN_RETENTION_MS = 2_000

/** Fingerprints end with a hash; peers are told only its last characters, because a datagram is short. */
const KEY_LENGTH = 16

/** Runs of suspects at the upstreams of this entry and of its peers, so that only one entry runs a suspect at a time. */
export class SuspectRuns {
  /** Number of runs in progress by key. */
  private readonly _running = new Map<string, number>()
  /** `Date.now()` until which a run without a response counts as running, by key. */
  private readonly _unresolvedUntilMs = new Map<string, number>()
  /** `Date.now()` until which each run of a peer counts as running, by peer and key. */
  private readonly _peerRuns = new Map<string, Map<string, number>>()
  private readonly _onChanged = new Emitter<void>()
  /** A run has started or ended. */
  readonly onChanged = this._onChanged.event

  /** Counts a run until the returned function is called; `isResolved` is false if the upstream may still be running it. */
  start (fingerprint: string): (isResolved: boolean) => void {
    const key = toKey(fingerprint)
    this._running.set(key, (this._running.get(key) ?? 0) + 1)
    this._onChanged.fire()
    return (isResolved) => this._end(key, isResolved)
  }

  /** Keys of the suspects that may be running at upstreams of this entry, for the peers. */
  running (): string[] {
    const nowMs = Date.now()
    for (const [key, untilMs] of this._unresolvedUntilMs) {
      if (untilMs <= nowMs) this._unresolvedUntilMs.delete(key)
    }
    return [...new Set([...this._running.keys(), ...this._unresolvedUntilMs.keys()])]
  }

  /** Replaces what is known of the runs of a peer. */
  setPeerRuns (peer: string, keys: readonly string[]): void {
    if (keys.length === 0) {
      this._peerRuns.delete(peer)
      return
    }
    const untilMs = Date.now() + PEER_RUN_RETENTION_MS
    this._peerRuns.set(peer, new Map(keys.map((key) => [key, untilMs])))
  }

  /** Whether a peer may be running the request. */
  isRunningAtPeer (fingerprint: string): boolean {
    const nowMs = Date.now()
    return [...this._peerRuns.values()].some((runs) => (runs.get(toKey(fingerprint)) ?? 0) > nowMs)
  }

  private _end (key: string, isResolved: boolean): void {
    const count = (this._running.get(key) ?? 1) - 1
    if (count > 0) this._running.set(key, count)
    else this._running.delete(key)
    if (!isResolved) this._unresolvedUntilMs.set(key, Date.now() + UNRESOLVED_RUN_MS)
    this._onChanged.fire()
  }
}

function toKey (fingerprint: string): string {
  return fingerprint.slice(-KEY_LENGTH)
}
