import type { Incarnation } from './Incarnation.js'

/** A record that an entry has written to the store: a crash under a request, or a trial of the request. */
export type SuspectRecord =
  /** `isDeleted`: the incarnation proved to be alive, or the request has completed since. */
  | { kind: 'crash', fingerprint: string, incarnation: Incarnation, atMs: number, isDeleted: boolean }
  | { kind: 'trial', fingerprint: string, atMs: number }
