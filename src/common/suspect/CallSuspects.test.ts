import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { FleetMember } from '../fleet/FleetMember.js'
import { FleetTable } from '../fleet/FleetTable.js'
import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { MemoryStore } from '../store/test/MemoryStore.js'
import { CallSuspects } from './CallSuspects.js'
import { IncarnationJudge } from './IncarnationJudge.js'
import { SuspectStore } from './SuspectStore.js'

const HEARTBEAT_MS = 1000
const TOPIC = 'keyed.suspects'
const POISON = 'aaaaaaaaaaaaaaaa'
const SOUND = 'bbbbbbbbbbbbbbbb'
const { logger, metrics } = testServices()

const member = (id: string, overrides: Partial<FleetMember> = {}): FleetMember =>
  ({ id, startedAtMs: 1, service: 's', address: id, failureDomain: 'd', slots: 4, isDraining: false, versions: new Map(), ...overrides })

/** One entry with its own view of the upstreams. */
class Entry {
  readonly fleet = new FleetTable(logger)
  readonly store: SuspectStore
  readonly suspects: CallSuspects
  readableSinceMs = Number.NEGATIVE_INFINITY

  constructor (memoryStore: MemoryStore, isSweeper = false) {
    for (let number = 1; number <= 9; number++) this.fleet.apply(member(`u${number}`))
    this.store = new SuspectStore(memoryStore, logger)
    this.suspects = new CallSuspects(this.store, new IncarnationJudge(this.fleet, HEARTBEAT_MS, () => this.readableSinceMs), () => isSweeper, logger, metrics)
    this.store.start()
  }

  upstream (id: string): FleetUpstream {
    return this.fleet.find(id) as FleetUpstream
  }

  async admit (fingerprint: string): Promise<string> {
    return (await this.suspects.admit(fingerprint)).kind
  }

  dispose (): void {
    this.suspects.dispose()
    this.store.dispose()
    this.fleet.dispose()
  }
}

describe('CallSuspects', () => {
  let time: VirtualTime
  let memoryStore: MemoryStore
  let first: Entry
  let second: Entry

  beforeEach(async () => {
    time = new VirtualTime()
    memoryStore = new MemoryStore()
    first = new Entry(memoryStore, true)
    second = new Entry(memoryStore)
    await time.advance(50)
  })
  afterEach(() => {
    first.dispose()
    second.dispose()
    time.restore()
  })

  /** Upstreams that crash under a request of one entry; they are missing in the upstream list soon after. */
  const crash = (entry: Entry, fingerprint: string, ...ids: string[]): void => {
    for (const id of ids) {
      entry.suspects.recordRun(fingerprint, entry.upstream(id), 'broken', performance.now())
      setTimeout(() => { for (const { fleet } of [first, second]) fleet.remove(id, 0) }, 10)
    }
  }
  const heartbeat = (...ids: string[]): void => {
    for (const entry of [first, second]) for (const id of ids) entry.fleet.apply(member(id))
  }

  // Guards against entries that each let a request crash three upstreams.
  it('rejects a request at every entry once it has crashed three upstreams, whichever entries saw the crashes', async () => {
    crash(first, POISON, 'u1', 'u2')
    crash(second, POISON, 'u3')
    expect(await first.admit(POISON)).toEqual('admitted')
    await time.advance(600)
    expect([await first.admit(POISON), await second.admit(POISON), await second.admit(SOUND)]).toEqual(['refused', 'refused', 'admitted'])
  })

  it('counts the crash of one upstream once, although several entries saw it', async () => {
    crash(first, POISON, 'u1', 'u2')
    crash(second, POISON, 'u1', 'u2')
    await time.advance(600)
    expect([await first.admit(POISON), await second.admit(POISON)]).toEqual(['admitted', 'admitted'])
  })

  // An upstream may be back under its id, and crash again, before its new record is read.
  it('counts a run that was sent after a crash of the same upstream as another crash, and runs at the same time as one', async () => {
    const runAt = (sentAtMs: number): void => first.suspects.recordRun(POISON, first.upstream('u1'), 'broken', sentAtMs)
    runAt(performance.now())
    runAt(performance.now() - 20)
    await time.advance(100)
    expect(first.suspects.mayStartAttempt(POISON, 1)).toEqual(true)
    runAt(performance.now() - 10)
    await time.advance(100)
    runAt(performance.now() - 10)
    expect(await first.admit(POISON)).toEqual('refused')
    await time.advance(500)
    expect(await second.admit(POISON)).toEqual('refused')
  })

  it('lets a suspect start no more attempts than it may crash upstreams', () => {
    expect([0, 5].map(running => first.suspects.mayStartAttempt(POISON, running))).toEqual([true, true])
    crash(first, POISON, 'u1')
    expect([0, 1, 2].map(running => first.suspects.mayStartAttempt(POISON, running))).toEqual([true, true, false])
    crash(first, POISON, 'u2')
    expect([0, 1].map(running => first.suspects.mayStartAttempt(POISON, running))).toEqual([true, false])
  })

  // Guards against a record for each sound request that was at an upstream when it crashed.
  it('publishes nothing of a request that completes at another upstream soon after', async () => {
    crash(first, SOUND, 'u1')
    await time.advance(100)
    first.suspects.recordRun(SOUND, first.upstream('u2'), 'responded', performance.now())
    await time.advance(1000)
    expect(memoryStore.appends).toEqual(0)
  })

  // Guards against sound requests that stay rejected because they ran where others crashed the upstreams.
  it('lets a rejected request run once more at one entry, and clears it everywhere when it completes', async () => {
    crash(first, SOUND, 'u1', 'u2', 'u3')
    await time.advance(5500)
    expect((await Promise.all([first.admit(SOUND), second.admit(SOUND)])).sort()).toEqual(['refused', 'trial'])
    expect(await second.admit(SOUND)).toEqual('refused')
    second.suspects.recordRun(SOUND, second.upstream('u4'), 'responded', performance.now())
    await time.advance(100)
    expect([await first.admit(SOUND), await second.admit(SOUND), memoryStore.keys(TOPIC)]).toEqual(['admitted', 'admitted', []])
  })

  // Guards against trials that crash upstreams without end: the users allow three more runs.
  it('gives a request three trials at most, further and further apart', async () => {
    let trials = 0
    crash(first, POISON, 'u1', 'u2', 'u3')
    for (let elapsedMs = 0; elapsedMs < 1_500_000; elapsedMs += 1000) {
      await time.advance(1000, 500)
      for (const entry of [first, second]) {
        if (await entry.admit(POISON) !== 'trial') continue
        trials += 1
        for (const { fleet } of [first, second]) fleet.apply(member(`t${trials}`))
        crash(entry, POISON, `t${trials}`)
      }
    }
    expect(trials).toEqual(3)
  })

  // A lost response, a reset connection and a cut look like a crash until the upstream is heard of again.
  it('clears a break when the upstream responds again, or writes heartbeats', async () => {
    for (const id of ['u1', 'u2', 'u3']) first.suspects.recordRun(SOUND, first.upstream(id), 'broken', performance.now())
    await time.advance(500)
    expect(await first.admit(SOUND)).toEqual('refused')
    first.upstream('u1').recordResponse(performance.now())
    await time.advance(500)
    expect(await first.admit(SOUND)).toEqual('admitted')
    await time.advance(2000)
    heartbeat('u2', 'u3')
    await time.advance(500)
    expect(memoryStore.keys(TOPIC)).toEqual([])
  })

  // A heartbeat that was written before the crash may be read long after it.
  it('takes no heartbeat for a sign of life that was read in a backlog, after an outage of the store or a pause of the process', async () => {
    for (const id of ['u1', 'u2', 'u3']) first.suspects.recordRun(POISON, first.upstream(id), 'broken', performance.now())
    first.readableSinceMs = Number.POSITIVE_INFINITY
    await time.advance(4000)
    first.readableSinceMs = performance.now()
    heartbeat('u1', 'u2', 'u3')
    await time.advance(500)
    expect(await first.admit(POISON)).toEqual('refused')
    time.pause(9000)
    heartbeat('u1', 'u2', 'u3')
    await time.advance(500)
    expect(['refused', 'trial'].includes(await first.admit(POISON))).toEqual(true)
    expect(await first.admit(POISON)).toEqual('refused')
  })

  // An upstream that loses power closes no connection: its callers give up.
  it('counts a run that was abandoned once its upstream has ended, and not while it lives', async () => {
    for (const id of ['u1', 'u2', 'u3', 'u4']) first.suspects.recordRun(POISON, first.upstream(id), 'abandoned', performance.now())
    expect(await first.admit(POISON)).toEqual('admitted')
    for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += HEARTBEAT_MS) {
      await time.advance(HEARTBEAT_MS)
      heartbeat('u4', 'u5')
    }
    expect(await second.admit(POISON)).toEqual('admitted')
    await time.advance(1000)
    expect([await first.admit(POISON), await second.admit(POISON)]).toEqual(['refused', 'refused'])
    expect(memoryStore.keys(TOPIC).filter(key => key.includes('u4'))).toEqual([])
  })

  it('takes an upstream for ended when another one has its address, or when it has started again', async () => {
    for (const id of ['u1', 'u2', 'u3']) first.suspects.recordRun(POISON, first.upstream(id), 'abandoned', performance.now())
    first.fleet.apply(member('new', { address: 'u1', startedAtMs: 2 }))
    first.fleet.apply(member('u2', { startedAtMs: 2 }))
    first.fleet.remove('u3', 0)
    await time.advance(500)
    expect(await first.admit(POISON)).toEqual('refused')
  })

  it('does not count the end of an upstream that leaves', async () => {
    for (const id of ['u1', 'u2', 'u3']) {
      first.fleet.apply(member(id, { isDraining: true }))
      crash(first, SOUND, id)
    }
    expect(await first.admit(SOUND)).toEqual('admitted')
  })

  // Guards against memory that ends with the process, or with the history of the store.
  it('knows the crashes after a restart, also when the store has lost its history', async () => {
    crash(first, POISON, 'u1', 'u2', 'u3')
    await time.advance(600)
    memoryStore.truncateHistory(TOPIC)
    const restarted = new Entry(memoryStore)
    await time.advance(100)
    expect(await restarted.admit(POISON)).toEqual('refused')
    restarted.dispose()
  })

  it('rejects while the store is away what this entry knows, and tells the others afterwards', async () => {
    memoryStore.isDown = true
    crash(first, POISON, 'u1', 'u2', 'u3')
    await time.advance(2000)
    expect([await first.admit(POISON), await second.admit(POISON)]).toEqual(['refused', 'admitted'])
    memoryStore.isDown = false
    await time.advance(1500)
    expect(await second.admit(POISON)).toEqual('refused')
  })

  // Without the store, each entry would grant a trial of its own.
  it('grants no trial while the store is away, and forgets nothing', async () => {
    crash(first, POISON, 'u1', 'u2', 'u3')
    await time.advance(1000)
    memoryStore.isDown = true
    for (const entry of [first, second]) entry.readableSinceMs = Number.POSITIVE_INFINITY
    await time.advance(60_000, 100)
    expect([await first.admit(POISON), await second.admit(POISON)]).toEqual(['refused', 'refused'])
  })

  it('forgets a suspect that has not come again, and deletes its records', async () => {
    crash(first, POISON, 'u1')
    await time.advance(610_000, 1000)
    expect(memoryStore.keys(TOPIC)).toEqual([])
  })

  it('keeps the memory of rejected requests when too many others are suspects', async () => {
    crash(first, POISON, 'u1', 'u2', 'u3')
    for (let number = 0; number < 3000; number++) {
      first.fleet.apply(member('crowd'))
      first.suspects.recordRun(number.toString(16).padStart(16, '0'), first.upstream('crowd'), 'broken', performance.now())
    }
    expect(await first.admit(POISON)).toEqual('refused')
  })

  it('ignores records that it cannot read', async () => {
    memoryStore.write(TOPIC, 'crash/zz/1.0.u1', { at_ms: 1 })
    memoryStore.write(TOPIC, `crash/${POISON}/1.0.u1`, { at: 'x' })
    memoryStore.write(TOPIC, 'other', { at_ms: 1 })
    await time.advance(100)
    expect(await first.admit(POISON)).toEqual('admitted')
  })
})
