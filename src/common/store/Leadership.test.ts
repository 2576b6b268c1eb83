import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { Leadership } from './Leadership.js'
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

  it('has one leader that all entries know', () => {
    expect(leaders().length).toEqual(1)
    const addresses = new Set(entries.map(entry => entry.leaderAddress()))
    expect(addresses.size).toEqual(1)
    expect([...addresses][0]).not.toEqual(undefined)
  })

  it('is taken over with a higher epoch after a leader has stopped, and never earlier than its lease', async () => {
    const [first] = leaders()
    const epoch = first?.validEpoch() ?? -1
    first?.dispose()
    let overlapMs = 0
    for (let passedMs = 0; passedMs < TAKEOVER_MS; passedMs += 10) {
      await time.advance(10)
      if (leaders().length > 1) overlapMs += 10
    }
    expect(overlapMs).toEqual(0)
    const next = entries.find(entry => entry !== first && entry.validEpoch() !== undefined)
    expect((next?.validEpoch() ?? -1) > epoch).toEqual(true)
  })

  it('goes on after an outage of the store under the same epoch, and gives no valid epoch within it', async () => {
    const [first] = leaders()
    const epoch = first?.validEpoch()
    store.isDown = true
    await time.advance(4000)
    expect(leaders()).toEqual([])
    store.isDown = false
    await time.advance(1000)
    expect(leaders().map(entry => entry.validEpoch())).toEqual([epoch])
  })

  it('survives renewals whose answers are lost, and renewals that are carried out late', async () => {
    let count = 0
    store.appendOutcome = () => (++count % 3 === 0 ? 'answer_lost' : count % 3 === 1 ? { lateMs: 300 } : 'ok')
    const [first] = leaders()
    await time.advance(6000)
    expect(leaders()).toEqual(first === undefined ? [] : [first])
  })

  it('gives no valid epoch after a pause that only the wall clock shows', () => {
    const [first] = leaders()
    // A suspended machine's steady clock stands still.
    const steadyMs = performance.now()
    mock.method(performance, 'now', () => steadyMs)
    time.pause(5000)
    expect(first?.validEpoch()).toEqual(undefined)
  })

  it('passes on at once when it is released, and does not come back', async () => {
    const [first] = leaders()
    await first?.release()
    await time.advance(500)
    expect(leaders().length).toEqual(1)
    expect(leaders()[0] === first).toEqual(false)
  })

  it('hears of a newer leader from others while it cannot read the store', async () => {
    const follower = entries.find(entry => entry.validEpoch() === undefined)
    store.isDown = true
    await time.advance(500)
    follower?.observeLeader((follower.latestKnownEpoch ?? 0) + 1, 'y:1')
    expect(follower?.leaderAddress()).toEqual('y:1')
    follower?.observeLeader(0, 'x:1')
    expect(follower?.leaderAddress()).toEqual('y:1')
  })

  it('ends when another entry has read of a newer leader', () => {
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
