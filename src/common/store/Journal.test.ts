import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { Journal } from './Journal.js'
import type { StoreAppendRequest } from './StoreAppendRequest.js'
import { MemoryStore } from './test/MemoryStore.js'

const value = new Uint8Array([1])

describe('Journal', () => {
  let time: VirtualTime
  let store: MemoryStore
  const create = (epoch: number): Journal => new Journal(store, 'topic', 'writer', epoch, testServices().logger)

  beforeEach(() => {
    time = new VirtualTime()
    store = new MemoryStore()
  })
  afterEach(() => time.restore())

  it('appends what is queued in one call, in order', async () => {
    const journal = create(1)
    await journal.open()
    const before = store.appends
    const results = Promise.all(['a', 'b', 'c'].map(async key => await journal.append([{ key, value }])))
    await time.advance(50)
    expect((await results).every(result => result.isOk())).toEqual(true)
    expect(store.keys('topic')).toEqual(['a', 'b', 'c'])
    expect(store.appends - before).toEqual(2)
  })

  it('repeats an append without an answer under its number, so that it takes effect once', async () => {
    const journal = create(1)
    await journal.open()
    const fates: Array<'answer_lost' | 'refused'> = ['answer_lost', 'refused', 'answer_lost']
    store.appendOutcome = () => fates.shift() ?? 'ok'
    const first = journal.append([{ key: 'a', value }])
    await time.advance(2000)
    const second = journal.append([{ key: 'b', value }])
    await time.advance(2000)
    expect((await first).isOk()).toEqual(true)
    expect((await second).isOk()).toEqual(true)
    expect(store.keys('topic')).toEqual(['a', 'b'])
  })

  it('is refused once a writer with a higher epoch has opened, also for an append that is carried out late', async () => {
    const old = create(1)
    await old.open()
    store.appendOutcome = () => ({ lateMs: 500 })
    const late = old.append([{ key: 'late', value }])
    await time.advance(5)
    store.appendOutcome = () => 'ok'
    const next = create(2)
    expect((await next.open()).isOk()).toEqual(true)
    await time.advance(2000)
    expect((await late).isErr()).toEqual(true)
    expect(store.keys('topic')).toEqual([])
  })

  it('does not take the answer to another append for its own', async () => {
    const journal = create(1)
    await journal.open()
    const append = store.append.bind(store)
    let isFirst = true
    // A store that counts the empty append as number 0 answers the first append as its repeat.
    store.append = (request: StoreAppendRequest) => {
      if (!isFirst) return append(request)
      isFirst = false
      return append({ ...request, records: [] })
    }
    const result = journal.append([{ key: 'a', value }])
    await time.advance(500)
    expect((await result).isOk()).toEqual(true)
    expect(store.keys('topic')).toEqual(['a'])
  })

  it('tells for how long the store has not taken records, and ends what waits when it is closed', async () => {
    const journal = create(1)
    await journal.open()
    store.isDown = true
    const result = journal.append([{ key: 'a', value }])
    await time.advance(1000)
    expect(journal.failingForMs() >= 900).toEqual(true)
    journal.close()
    await time.advance(1000)
    expect((await result).isErr()).toEqual(true)
  })
})
