import type { IEvent } from '../kernel/IEvent.js'

/** Exchanges suspects between entries before the crash records arrive through the log. */
export interface ISuspectGossip {
  /** Fingerprints to send to peers, those of the latest crashes first. */
  suspects (): string[]
  /** Handles requests named by a peer as suspects, without counting a crash. */
  addPeerSuspects (fingerprints: string[]): void
  /** Keys of the suspects that may be running at upstreams of this entry. */
  runningSuspects (): string[]
  /** Replaces what is known of the suspects that run at upstreams of a peer. */
  setPeerRuns (peer: string, keys: readonly string[]): void
  /** The result of `runningSuspects` has changed; peers should learn of it at once. */
  onRunsChanged: IEvent<void>
}
