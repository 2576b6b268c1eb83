import { createHmac } from 'node:crypto'
import { create, toBinary } from '@bufbuild/protobuf'
import { EnvelopeSchema } from '../../gen/peer_pb.js'

/** Wraps a payload in an envelope with its HMAC-SHA-256 under the shared key. */
export function signDatagram (payload: Uint8Array, key: string): Uint8Array {
  const mac = createHmac('sha256', key).update(payload).digest()
  return toBinary(EnvelopeSchema, create(EnvelopeSchema, { payload, mac }))
}
