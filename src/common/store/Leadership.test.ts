import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { Leadership } from './Leadership.js'
import { FaultyStoreClient } from './test/FaultyStoreClient.js'
import { MemoryStore } from './test/MemoryStore.js'

const TAKEOVER_MS = 2300

describe('Leadership', () => {
  let time: VirtualTime
  let store: MemoryStore
  let entries: Leadership[]

  beforeEach(async () => {
    time = new VirtualTime()
    store = new MemoryStore()
    entries = ['a', 'b', 'c'].map(name => new Leadership(store, name, `10.0.0.${name}:1`, testServices().logger))
    for (const entry of entries) entry.start()
    await time.advance(1000)
  })
  afterEach(() => {
    for (const entry of entries) entry.dispose()
    time.restore()
  })

  const leaders = (): Leadership[] => entries.filter(entry => entry.validEpoch() !== undefined)

  it('elects one leader, known to all entries', () => {
    expect(leaders().length).toEqual(1)
    const addresses = new Set(entries.map(entry => entry.leaderAddress()))
    expect(addresses.size).toEqual(1)
    expect([...addresses][0]).not.toEqual(undefined)
  })

  it('is taken over with a higher epoch after a leader has stopped, and never before its lease has expired', async () => {
    const [first] = leaders()
    const epoch = first?.validEpoch() ?? -1
    first?.dispose()
    let overlapMs = 0
    for (let elapsedMs = 0; elapsedMs < TAKEOVER_MS; elapsedMs += 10) {
      await time.advance(10)
      if (leaders().length > 1) overlapMs += 10
    }
    expect(overlapMs).toEqual(0)
    const next = entries.find(entry => entry !== first && entry.validEpoch() !== undefined)
    expect((next?.validEpoch() ?? -1) > epoch).toEqual(true)
  })

  it('continues with the same epoch after an outage of the store, and has no valid epoch during the outage', async () => {
    const [first] = leaders()
    const epoch = first?.validEpoch()
    store.isDown = true
    await time.advance(4000)
    expect(leaders()).toEqual([])
    store.isDown = false
    await time.advance(1000)
    expect(leaders().map(entry => entry.validEpoch())).toEqual([epoch])
  })

  it('survives renewals whose responses are lost and renewals that are executed late', async () => {
    let count = 0
    store.appendOutcome = () => (++count % 3 === 0 ? 'answer_lost' : count % 3 === 1 ? { lateMs: 300 } : 'ok')
    const [first] = leaders()
    await time.advance(6000)
    expect(leaders()).toEqual(first === undefined ? [] : [first])
  })

  it('has no valid epoch after a suspension that only the wall clock shows', () => {
    const [first] = leaders()
    // The monotonic clock of a suspended host stops.
    const monotonicMs = performance.now()
    mock.method(performance, 'now', () => monotonicMs)
    time.pause(5000)
    expect(first?.validEpoch()).toEqual(undefined)
  })

  it('is taken over at once after a release, and not by the entry that released it', async () => {
    const [first] = leaders()
    await first?.release()
    await time.advance(500)
    expect(leaders().length).toEqual(1)
    expect(leaders()[0] === first).toEqual(false)
  })

  it('accepts a newer leader reported by others while it cannot read the store', async () => {
    const follower = entries.find(entry => entry.validEpoch() === undefined)
    store.isDown = true
    await time.advance(500)
    follower?.observeLeader((follower.latestKnownEpoch ?? 0) + 1, 'y:1')
    expect(follower?.leaderAddress()).toEqual('y:1')
    follower?.observeLeader(0, 'x:1')
    expect(follower?.leaderAddress()).toEqual('y:1')
  })

  // Guards against a second term in one epoch, whose journal would begin again at the sequence numbers of the first.
  it('does not gain an epoch again that it gave up, when it learns late of an own renewal', async () => {
    let delayMs = 0
    const client = new FaultyStoreClient(store, () => ({ requestDelayMs: 0, responseDelayMs: delayMs, isResponseLost: false }))
    const slow = new Leadership(client, 'slow', '10.0.0.4:1', testServices().logger)
    entries.push(slow)
    for (const entry of entries) if (entry !== slow) entry.dispose()
    slow.start()
    const gained: number[] = []
    slow.onGained(epoch => gained.push(epoch))
    await time.advance(3000)
    expect(gained.length).toEqual(1)
    delayMs = 250
    await time.advance(1000)
    slow.observeLeader((slow.latestKnownEpoch ?? 0) + 100, 'x:1')
    expect(slow.isLeader).toEqual(false)
    await time.advance(600)
    expect(gained.length).toEqual(1)
    expect(slow.isLeader).toEqual(false)
    expect(slow.leaderAddress()).toEqual('x:1')
  })

  describe('when a leader resigns, because it cannot serve its epoch,', () => {
    it('is gained by another entry soon, in a new epoch', async () => {
      const [first] = leaders()
      const epoch = first?.validEpoch() ?? -1
      const lost: string[] = []
      first?.onLost(() => lost.push('lost'))
      first?.resign(epoch, 'journal is fenced')
      expect(lost).toEqual(['lost'])
      expect(first?.isLeader).toEqual(false)
      await time.advance(500)
      expect(leaders().length).toEqual(1)
      expect(leaders()[0] === first).toEqual(false)
      expect((leaders()[0]?.validEpoch() ?? -1) > epoch).toEqual(true)
    })

    it('is gained by the same entry in a new epoch if there is no other', async () => {
      const [first] = leaders()
      for (const entry of entries) if (entry !== first) entry.dispose()
      const epoch = first?.validEpoch() ?? -1
      const gained: number[] = []
      first?.onGained(next => gained.push(next))
      first?.resign(epoch, 'journal is fenced')
      await time.advance(2500)
      expect(gained.length).toEqual(1)
      expect((gained[0] ?? -1) > epoch).toEqual(true)
    })

    // The release may be lost, and a renewal from before it may take effect after it.
    it('is not gained again in that epoch, whatever the store does with the release', async () => {
      const [first] = leaders()
      const epoch = first?.validEpoch() ?? -1
      const gained: number[] = []
      first?.onGained(next => gained.push(next))
      store.appendOutcome = () => ({ lateMs: 150 })
      await time.advance(220)
      first?.resign(epoch, 'journal is fenced')
      await time.advance(2500)
      store.appendOutcome = () => 'ok'
      await time.advance(2500)
      expect(gained.includes(epoch)).toEqual(false)
      expect(leaders().length).toEqual(1)
    })

    it('has no effect on a later epoch', () => {
      const [first] = leaders()
      const epoch = first?.validEpoch() ?? -1
      first?.resign(epoch - 1, 'journal is fenced')
      expect(first?.validEpoch()).toEqual(epoch)
    })
  })

  describe('of entries whose claims the store rejects while it serves their reads', () => {
    const ENTRIES = 40
    /** Share of the store's writes that the claims of all entries may take: 3,200 a second, 370 entries, a quarter. */
    const MAX_CLAIMS_PER_ENTRY_PER_S = 2

    beforeEach(async () => {
      for (let number = entries.length; number < ENTRIES; number++) {
        const entry = new Leadership(store, `entry-${number}`, `10.0.0.${number}:1`, testServices().logger)
        entry.start()
        entries.push(entry)
      }
      for (const entry of leaders()) entry.dispose()
      store.appendOutcome = () => 'refused'
      await time.advance(4000)
    })

    it('claims less and less often', async () => {
      const before = store.appends
      await time.advance(5000)
      expect((store.appends - before) / 5 / ENTRIES).toBeLessThanOrEqual(MAX_CLAIMS_PER_ENTRY_PER_S)
    })

    it('is gained within a second once the store accepts claims', async () => {
      store.appendOutcome = () => 'ok'
      await time.advance(1000)
      expect(leaders().length).toEqual(1)
    })
  })

  it('ends when another entry reports a newer leader', () => {
    const [first] = leaders()
    const lost: string[] = []
    first?.onLost(() => lost.push('lost'))
    first?.observeLeader(first.validEpoch() ?? 0, 'x:1')
    expect(lost).toEqual([])
    first?.observeLeader((first.validEpoch() ?? 0) + 1, 'x:1')
    expect(lost).toEqual(['lost'])
    expect(first?.isLeader).toEqual(false)
    expect(first?.leaderAddress()).toEqual('x:1')
  })
})
