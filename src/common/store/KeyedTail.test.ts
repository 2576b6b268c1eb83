import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { ok, ResultAsync } from 'neverthrow'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { KeyedTail } from './KeyedTail.js'
import { FaultyStoreClient } from './test/FaultyStoreClient.js'
import { MemoryStore } from './test/MemoryStore.js'

describe('KeyedTail', () => {
  let time: VirtualTime
  let store: MemoryStore
  let tail: KeyedTail
  let received: string[]

  beforeEach(() => {
    time = new VirtualTime()
    store = new MemoryStore()
    received = []
    tail = new KeyedTail(store, 'topic', testServices().logger)
    tail.onRecord(record => received.push(record.value === undefined ? `-${record.key}` : `${record.key}=${new TextDecoder().decode(record.value)}`))
  })
  afterEach(() => {
    tail.dispose()
    time.restore()
  })

  it('reads all pages of the newest records first and then each new record once', async () => {
    for (const key of ['a', 'b', 'c', 'd', 'e']) store.write('topic', key, key)
    tail.start()
    await time.advance(20)
    expect(tail.isSynced).toEqual(true)
    store.write('topic', 'b', 'new')
    store.write('topic', 'c')
    await time.advance(20)
    expect(received).toEqual(['a="a"', 'b="b"', 'c="c"', 'd="d"', 'e="e"', 'b="new"', '-c'])
  })

  it('detects changes in a gap of the history, including deleted keys', async () => {
    store.write('topic', 'a', 1)
    store.write('topic', 'b', 1)
    tail.start()
    await time.advance(20)
    store.isDown = true
    await time.advance(1500)
    store.write('topic', 'b')
    store.write('topic', 'a', 2)
    store.truncateHistory('topic')
    store.isDown = false
    await time.advance(1500)
    expect(received).toEqual(['a=1', 'b=1', 'a=2', '-b'])
  })

  it('reports since when the store is reachable, so that records that expired in an outage are recognised', async () => {
    tail.start()
    await time.advance(20)
    store.isDown = true
    await time.advance(2000)
    expect(tail.reachableSinceMs).toEqual(Number.POSITIVE_INFINITY)
    store.isDown = false
    await time.advance(2000)
    expect(performance.now() - tail.reachableSinceMs < 2000).toEqual(true)
  })

  describe('knows that its records are the newest', () => {
    /** Age of the newest records. */
    const ageMs = (): number => performance.now() - tail.upToDateAtMs

    // Guards against removed keys that are accepted for as long as a response takes, because its arrival counts.
    it('up to the time at which a read was sent, and not at which its response arrived', async () => {
      const sentAtMs: number[] = []
      const delayed = new FaultyStoreClient(store, () => {
        sentAtMs.push(performance.now())
        return { requestDelayMs: 0, responseDelayMs: 300, isResponseLost: false }
      })
      tail.dispose()
      tail = new KeyedTail(delayed, 'topic', testServices().logger)
      for (const key of ['a', 'b', 'c', 'd', 'e']) store.write('topic', key, key)
      expect(tail.upToDateAtMs).toEqual(Number.NEGATIVE_INFINITY)
      tail.start()
      await time.advance(700)
      // Both pages of the snapshot have been read; the first was sent before the second.
      expect([tail.isSynced, tail.upToDateAtMs === sentAtMs[0], (sentAtMs[1] ?? 0) > tail.upToDateAtMs]).toEqual([true, true, true])
      await time.advance(1400)
      expect(tail.upToDateAtMs).toEqual(sentAtMs[2] ?? 0)
    })

    it('also by reads that return nothing', async () => {
      tail.start()
      await time.advance(10_000)
      // A read waits for a second, and the one before it was sent a second earlier.
      expect(ageMs()).toBeLessThanOrEqual(2100)
    })

    // Guards against an age that counts from a response that ends before the record that removes a key.
    it('only when it has read up to the end of the topic', async () => {
      tail.start()
      await time.advance(20)
      store.isDown = true
      await time.advance(1500)
      for (let count = 0; count < 4; count++) store.write('topic', `key-${count}`, count)
      const upToDateAtMs: number[] = []
      tail.onRecord(() => upToDateAtMs.push(tail.upToDateAtMs))
      const provedBeforeMs = tail.upToDateAtMs
      store.maxReadRecords = 1
      store.isDown = false
      await time.advance(1000)
      expect(upToDateAtMs).toEqual(Array(4).fill(provedBeforeMs))
      expect(tail.upToDateAtMs > provedBeforeMs).toEqual(true)
    })

    it('no further while reads fail, and again soon after', async () => {
      tail.dispose()
      tail = new KeyedTail(store, 'topic', testServices().logger, 0, 0)
      tail.start()
      await time.advance(20)
      store.isDown = true
      await time.advance(6000)
      expect(ageMs() >= 6000).toEqual(true)
      store.isDown = false
      await time.advance(500)
      expect(ageMs()).toBeLessThanOrEqual(500)
    })

    it('not by a response whose end lies before the read position', async () => {
      store.write('topic', 'a', 1)
      tail.start()
      await time.advance(20)
      const { upToDateAtMs } = tail
      store.read = (_topic, fromOffset) => new ResultAsync(new Promise(resolve => {
        setTimeout(() => resolve(ok({ records: [], nextOffset: fromOffset, endOffset: 0 })), 10)
      }))
      await time.advance(3000)
      // Only the read that was under way, with a sound response, counts.
      expect([tail.upToDateAtMs - upToDateAtMs <= 1100, ageMs() >= 1800]).toEqual([true, true])
    })
  })
})
