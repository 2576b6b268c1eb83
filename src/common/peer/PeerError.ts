/** Errors of calls between entries. */
export type PeerError = { kind: 'peer_unavailable', message: string }
