import type { Gossip } from '../../gen/peer_pb.js'
import type { IEvent } from '../kernel/IEvent.js'

/** Sends and receives authenticated datagrams; bad, oversized and repeated ones never arrive. */
export interface IPeerSocket {
  readonly onGossip: IEvent<{ message: Gossip, address: string }>
  /** Sends without a guarantee; `address` is `ip:port`. */
  send (address: string, payload: Uint8Array): void
}
