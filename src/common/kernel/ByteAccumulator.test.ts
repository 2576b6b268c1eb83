import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ByteAccumulator } from './ByteAccumulator.js'
import { releaseBytes } from './releaseBytes.js'

const MAX_BYTES = 1_000_000
const STEP_BYTES = 65_536

describe('ByteAccumulator', () => {
  it('returns the bytes in order, whatever the sizes of the chunks, up to the largest size', () => {
    for (const sizes of [[0], [5], [1, 1, 1], [300, 70_000, 0, 1], [65_536, 1], [MAX_BYTES], Array<number>(10).fill(100_000)]) {
      const bytes = new ByteAccumulator(MAX_BYTES)
      const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1))
      for (const chunk of chunks) bytes.append(chunk)
      expect(bytes.length).toEqual(sizes.reduce((sum, size) => sum + size, 0))
      expect(Buffer.compare(bytes.take(), Buffer.concat(chunks))).toEqual(0)
    }
  })

  // Guards against a body in tiny chunks that costs many times its bytes.
  it('uses at most a step of memory more than the bytes', () => {
    const bytes = new ByteAccumulator(MAX_BYTES)
    for (let count = 0; count < 300_000; count++) {
      bytes.append(Buffer.from('x'))
      if (bytes.capacityBytes > bytes.length + STEP_BYTES) throw new Error(`${bytes.capacityBytes} bytes for ${bytes.length}`)
    }
    expect(bytes.take().length).toEqual(300_000)
    expect(bytes.capacityBytes).toEqual(0)
  })

  it('leaves a first chunk unchanged that is part of a larger buffer', () => {
    const shared = Buffer.from('abcdef')
    const bytes = new ByteAccumulator(MAX_BYTES)
    bytes.append(shared.subarray(0, 2))
    bytes.append(Buffer.from('xy'))
    expect([shared.toString(), Buffer.from(bytes.take()).toString()]).toEqual(['abcdef', 'abxy'])
  })

  it('frees the memory of large bytes when they are released', () => {
    const bytes = new ByteAccumulator(MAX_BYTES)
    for (let count = 0; count < 3; count++) bytes.append(Buffer.alloc(100_000))
    const taken = bytes.take()
    releaseBytes(taken)
    expect(taken.buffer.byteLength).toEqual(0)
    bytes.append(Buffer.alloc(100_000))
    bytes.append(Buffer.alloc(100_000))
    bytes.release()
    expect([bytes.length, bytes.capacityBytes]).toEqual([0, 0])
  })
})
