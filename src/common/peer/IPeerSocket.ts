import type { Gossip } from '../../gen/peer_pb.js'
import type { IEvent } from '../kernel/IEvent.js'

/** Sends and receives authenticated datagrams. Datagrams that are malformed, oversized, replayed or fail authentication are dropped. */
export interface IPeerSocket {
  readonly onGossip: IEvent<{ message: Gossip, address: string }>
  /** Sends a datagram without delivery guarantee; `address` is `ip:port`. */
  send (address: string, payload: Uint8Array): void
}
