import { create, toBinary, type DescMessage, type MessageInitShape } from '@bufbuild/protobuf'
import { ContractHeadSchema, GossipSchema, HeartbeatSchema, UpstreamHintSchema, type Gossip } from '../../gen/peer_pb.js'
import type { GossipContent } from './GossipContent.js'
import type { PeerHeartbeat } from './PeerHeartbeat.js'
import { RoundRobinCursor } from './RoundRobinCursor.js'

// 500 bytes less the envelope: 32 bytes of MAC and 5 bytes of field headers, with some reserve.
const MAX_PAYLOAD_BYTES = 460
// Field tag and length of a list item.
const ITEM_HEADER_BYTES = 3
// Parts of the payload that each list may fill at first; what is left over goes to all in order.
const LIST_SHARE = 1 / 4

/** Writes datagrams that fit the size limit. */
export class GossipEncoder {
  private _sequence = 0n
  private readonly _heartbeats = new RoundRobinCursor<PeerHeartbeat>()
  private readonly _heads = new RoundRobinCursor<GossipContent['contractHeads'][number]>()
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
      draining: content.isDraining
    })
    const free = MAX_PAYLOAD_BYTES - toBinary(GossipSchema, message).length
    const left = this._fill(message, content, Math.floor(free * LIST_SHARE))
    this._fillUpstreams(message, content, free - left.used)
    return toBinary(GossipSchema, message)
  }

  private _fill (message: Gossip, content: GossipContent, share: number): { used: number } {
    const heads = fill(this._heads, content.contractHeads, share, ContractHeadSchema,
      head => ({ organisation: head.organisation, revision: BigInt(head.revision) }), item => message.contractHeads.push(item))
    const heartbeats = fill(this._heartbeats, content.heartbeats, share, HeartbeatSchema,
      beat => ({ id: beat.id, incarnation: beat.incarnation, sequence: BigInt(beat.sequence), draining: beat.isDraining }),
      item => message.heartbeats.push(item))
    let suspects = 0
    this._suspects.take(content.suspects, suspect => {
      const size = suspect.length + ITEM_HEADER_BYTES
      if (suspects + size > share) return false
      suspects += size
      message.suspects.push(suspect)
      return true
    })
    return { used: heads + heartbeats + suspects }
  }

  /** Leaving upstreams come first, because new work must stop reaching them within seconds. */
  private _fillUpstreams (message: Gossip, content: GossipContent, room: number): void {
    const toInit = (hint: GossipContent['upstreams'][number]): MessageInitShape<typeof UpstreamHintSchema> =>
      ({ id: hint.id, incarnation: hint.incarnation, outstanding: hint.outstanding, leaving: hint.isLeaving })
    const leaving = content.upstreams.filter(hint => hint.isLeaving)
    const others = content.upstreams.filter(hint => !hint.isLeaving)
    const used = fill(this._leaving, leaving, room, UpstreamHintSchema, toInit, item => message.upstreams.push(item))
    fill(this._upstreams, others, room - used, UpstreamHintSchema, toInit, item => message.upstreams.push(item))
  }
}

function fill<T, D extends DescMessage> (list: RoundRobinCursor<T>, items: readonly T[], room: number, schema: D,
  toInit: (item: T) => MessageInitShape<D>, push: (item: any) => void): number {
  let used = 0
  list.take(items, item => {
    const message = create(schema, toInit(item))
    const size = toBinary(schema, message).length + ITEM_HEADER_BYTES
    if (used + size > room) return false
    used += size
    push(message)
    return true
  })
  return used
}
