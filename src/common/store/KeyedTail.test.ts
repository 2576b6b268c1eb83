import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { KeyedTail } from './KeyedTail.js'
import { MemoryStore } from './test/MemoryStore.js'

describe('KeyedTail', () => {
  let time: VirtualTime
  let store: MemoryStore
  let tail: KeyedTail
  let seen: string[]

  beforeEach(() => {
    time = new VirtualTime()
    store = new MemoryStore()
    seen = []
    tail = new KeyedTail(store, 'topic', testServices().logger)
    tail.onRecord(record => seen.push(record.value === undefined ? `-${record.key}` : `${record.key}=${new TextDecoder().decode(record.value)}`))
  })
  afterEach(() => {
    tail.dispose()
    time.restore()
  })

  it('reads all pages of the newest records first and then each record once', async () => {
    for (const key of ['a', 'b', 'c', 'd', 'e']) store.write('topic', key, key)
    tail.start()
    await time.advance(20)
    expect(tail.isSynced).toEqual(true)
    store.write('topic', 'b', 'new')
    store.write('topic', 'c')
    await time.advance(20)
    expect(seen).toEqual(['a="a"', 'b="b"', 'c="c"', 'd="d"', 'e="e"', 'b="new"', '-c'])
  })

  it('finds out what changed in a gap of the history, also that a key was dropped', async () => {
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
    expect(seen).toEqual(['a=1', 'b=1', 'a=2', '-b'])
  })

  it('tells since when the store can be reached, so that lapses in an outage are known as such', async () => {
    tail.start()
    await time.advance(20)
    store.isDown = true
    await time.advance(2000)
    expect(tail.reachableSinceMs).toEqual(Number.POSITIVE_INFINITY)
    store.isDown = false
    await time.advance(2000)
    expect(performance.now() - tail.reachableSinceMs < 2000).toEqual(true)
  })
})
