/** What is known of an incarnation of an upstream since a run there ended without a response. */
export type IncarnationState =
  /** It has proved that it is still running. */
  | 'alive'
  /** It has left the upstream list, has been replaced, or writes no heartbeats while others do. */
  | 'ended'
  | 'unknown'
