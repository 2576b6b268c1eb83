import { create, toBinary, type DescMessage, type MessageInitShape } from '@bufbuild/protobuf'
import { ContractHeadSchema, GossipSchema, HeartbeatSchema, UpstreamHintSchema, type Gossip } from '../../gen/peer_pb.js'
import type { GossipContent } from './GossipContent.js'
import type { PeerHeartbeat } from './PeerHeartbeat.js'
import { RoundRobinCursor } from './RoundRobinCursor.js'

// A datagram holds at most 500 bytes; the envelope takes 32 bytes of MAC and 5 bytes of field headers, and the rest is reserve.
const MAX_PAYLOAD_BYTES = 460
// Field tag and length prefix of a list item.
const ITEM_HEADER_BYTES = 3
// Part of the payload that each list other than the upstreams may fill; the upstreams get the remainder.
const MAX_LIST_FRACTION = 1 / 4

/** An entry runs one suspect of each service, so more are rare. */
const MAX_RUNNING_SUSPECTS = 3

/** Encodes gossip messages within the size limit of a datagram; lists that do not fit continue in the next message. */
export class GossipEncoder {
  private _sequence = 0n
  private readonly _heartbeats = new RoundRobinCursor<PeerHeartbeat>()
  private readonly _contractHeads = new RoundRobinCursor<GossipContent['contractHeads'][number]>()
  private readonly _leaving = new RoundRobinCursor<GossipContent['upstreams'][number]>()
  private readonly _upstreams = new RoundRobinCursor<GossipContent['upstreams'][number]>()
  private readonly _suspects = new RoundRobinCursor<string>()

  encode (content: GossipContent): Uint8Array {
    this._sequence += 1n
    const message = create(GossipSchema, {
      sender: content.sender,
      incarnation: content.incarnation,
      sequence: this._sequence,
      failureDomain: content.failureDomain,
      draining: content.isDraining,
      runningSuspects: content.runningSuspects.slice(0, MAX_RUNNING_SUSPECTS)
    })
    const freeBytes = MAX_PAYLOAD_BYTES - toBinary(GossipSchema, message).length
    const lists = this._fillLists(message, content, Math.floor(freeBytes * MAX_LIST_FRACTION))
    this._fillUpstreams(message, content, freeBytes - lists.usedBytes)
    return toBinary(GossipSchema, message)
  }

  private _fillLists (message: Gossip, content: GossipContent, maxBytesPerList: number): { usedBytes: number } {
    const headBytes = appendItems(this._contractHeads, content.contractHeads, maxBytesPerList, ContractHeadSchema,
      head => ({ organisation: head.organisation, revision: BigInt(head.revision) }), item => message.contractHeads.push(item))
    const heartbeatBytes = appendItems(this._heartbeats, content.heartbeats, maxBytesPerList, HeartbeatSchema,
      heartbeat => ({ id: heartbeat.id, incarnation: heartbeat.incarnation, sequence: BigInt(heartbeat.sequence), draining: heartbeat.isDraining }),
      item => message.heartbeats.push(item))
    let suspectBytes = 0
    this._suspects.take(content.suspects, suspect => {
      const sizeBytes = suspect.length + ITEM_HEADER_BYTES
      if (suspectBytes + sizeBytes > maxBytesPerList) return false
      suspectBytes += sizeBytes
      message.suspects.push(suspect)
      return true
    })
    return { usedBytes: headBytes + heartbeatBytes + suspectBytes }
  }

  /** Writes leaving upstreams first, because all entries must stop sending new work to them within seconds. */
  private _fillUpstreams (message: Gossip, content: GossipContent, freeBytes: number): void {
    const toInit = (hint: GossipContent['upstreams'][number]): MessageInitShape<typeof UpstreamHintSchema> =>
      ({ id: hint.id, incarnation: hint.incarnation, outstanding: hint.outstanding, leaving: hint.isLeaving })
    const leaving = content.upstreams.filter(hint => hint.isLeaving)
    const others = content.upstreams.filter(hint => !hint.isLeaving)
    const usedBytes = appendItems(this._leaving, leaving, freeBytes, UpstreamHintSchema, toInit, item => message.upstreams.push(item))
    appendItems(this._upstreams, others, freeBytes - usedBytes, UpstreamHintSchema, toInit, item => message.upstreams.push(item))
  }
}

function appendItems<T, D extends DescMessage> (cursor: RoundRobinCursor<T>, items: readonly T[], freeBytes: number, schema: D,
  toInit: (item: T) => MessageInitShape<D>, push: (item: any) => void): number {
  let usedBytes = 0
  cursor.take(items, item => {
    const message = create(schema, toInit(item))
    const sizeBytes = toBinary(schema, message).length + ITEM_HEADER_BYTES
    if (usedBytes + sizeBytes > freeBytes) return false
    usedBytes += sizeBytes
    push(message)
    return true
  })
  return usedBytes
}
