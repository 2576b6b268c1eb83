import { describe, it } from 'node:test'
import { fromBinary } from '@bufbuild/protobuf'
import { expect } from 'earl'
import { GossipSchema } from '../../gen/peer_pb.js'
import type { GossipContent } from './GossipContent.js'
import { GossipEncoder } from './GossipEncoder.js'

const range = <T>(count: number, map: (index: number) => T): T[] => Array.from({ length: count }, (_, index) => map(index))

describe('GossipEncoder', () => {
  it('stays within 460 bytes and sends each item after enough messages', () => {
    const content: GossipContent = {
      sender: 'entry-1',
      incarnation: 'mabcdefghijk',
      failureDomain: 'steam-hall',
      isDraining: true,
      heartbeats: range(30, index => ({ id: `entry-${index}`, incarnation: 'mabcdefghijk', sequence: 1e6, isDraining: false })),
      contractHeads: range(20, index => ({ organisation: `organisation-${index}`, revision: 300 })),
      upstreams: range(40, index => ({ id: `engine-${index}`, incarnation: 'x'.repeat(12), outstanding: 7, isLeaving: index === 39 })),
      suspects: range(12, index => `${index}`.padStart(32, 'f')),
      runningSuspects: range(6, index => `${index}`.padStart(16, 'e'))
    }
    const encoder = new GossipEncoder()
    const seen = new Set<string>()
    for (let count = 0; count < 20; count++) {
      const payload = encoder.encode(content)
      expect(payload.length).toBeLessThanOrEqual(460)
      const message = fromBinary(GossipSchema, payload)
      expect(message.sequence).toEqual(BigInt(count + 1))
      expect(message.upstreams[0]?.leaving).toEqual(true)
      for (const item of [...message.heartbeats, ...message.upstreams]) seen.add(item.id)
      for (const head of message.contractHeads) seen.add(head.organisation)
      for (const suspect of message.suspects) seen.add(suspect)
    }
    expect(seen.size).toEqual(30 + 20 + 40 + 12)
  })
})
