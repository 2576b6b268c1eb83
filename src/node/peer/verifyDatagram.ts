import { createHmac, timingSafeEqual } from 'node:crypto'
import { fromBinary } from '@bufbuild/protobuf'
import { err, ok, type Result } from 'neverthrow'
import { EnvelopeSchema, GossipSchema, type Gossip } from '../../gen/peer_pb.js'

type DropReason = 'oversized' | 'malformed' | 'unauthenticated'

const MAX_DATAGRAM_BYTES = 500

/** Verifies the size and HMAC of a datagram and decodes it. Only the envelope is decoded before the HMAC has been verified. */
export function verifyDatagram (datagram: Uint8Array, key: string): Result<Gossip, DropReason> {
  if (datagram.length > MAX_DATAGRAM_BYTES) return err('oversized')
  try {
    const envelope = fromBinary(EnvelopeSchema, datagram)
    const expected = createHmac('sha256', key).update(envelope.payload).digest()
    if (envelope.mac.length !== expected.length || !timingSafeEqual(envelope.mac, expected)) return err('unauthenticated')
    return ok(fromBinary(GossipSchema, envelope.payload))
  } catch {
    return err('malformed')
  }
}
