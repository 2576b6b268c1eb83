import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import type { IContractStore } from '../contract/IContractStore.js'
import type { ISuspectTable } from '../crash/ISuspectTable.js'
import type { Member } from '../schema/Member.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { UpstreamTable } from '../upstream/UpstreamTable.js'
import { Admission } from './Admission.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ISlot } from './ISlot.js'

const silent = { info () {}, warn () {}, error () {}, debug () {}, count () {}, gauge () {}, duration () {} }
const settings = { services: [{ name: 's', balancer: 'least-outstanding' }] } as EntrySettings
const hasher = { hash64: (text: string) => BigInt(text.length) }
const limits = { share: 1, max_in_flight: 100, max_queue: 100 }
const completed = { kind: 'completed', durationMs: 10, units: 1 } as const

describe('Admission', () => {
  let table: UpstreamTable
  let admission: Admission
  let log: string[]
  let slots: Map<string, ISlot>
  let limitsOf: Record<string, Partial<typeof limits>>
  let suspects: { blocked: Set<string>, awaitingRecords: Set<string>, suspected: Set<string>, crashes: string[][] }
  let random: () => number

  const member = (id: string, patch: Partial<Member> = {}): Member => ({
    id, role: 'upstream', service: 's', address: '', failure_domain: 'f', state: 'live', incarnation: '1', ...patch
  })
  const flush = async (): Promise<void> => { for (let turn = 0; turn < 10; turn++) await Promise.resolve() }

  /** Requests a slot; logs the name when the slot is granted, or the name and error kind when it is rejected. */
  function request (name: string, patch: Partial<AdmissionRequest> = {}): void {
    admission.acquire({
      organisation: 'c', service: 's', workClass: 'w', size: 'short', units: 1, fingerprint: name, deadlineAtMs: performance.now() + 60_000, ...patch
    }).match((slot) => {
      slots.set(name, slot)
      log.push(name)
    }, (error) => log.push(`${name} ${error.kind}`)).catch(() => undefined)
  }

  async function release (name: string, result: Parameters<ISlot['release']>[0] = completed): Promise<void> {
    slots.get(name)!.release(result)
    await flush()
  }

  async function takeLog (): Promise<string[]> {
    await flush()
    return log.splice(0)
  }

  function setUp (ids: string[], limit: number): void {
    table.updateMembers(ids.map((id) => member(id)))
    ids.forEach((id) => { table.get(id)!.limit = limit })
  }

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'], now: 1000 })
    mock.method(performance, 'now', () => Date.now())
    log = []
    slots = new Map()
    limitsOf = {}
    random = () => 0
    suspects = { blocked: new Set(), awaitingRecords: new Set(), suspected: new Set(), crashes: [] }
    const contracts = { current: (organisation: string) => ({ contract: { limits: { ...limits, ...limitsOf[organisation] } } }) }
    const suspectTable: ISuspectTable = {
      isBlocked: (fingerprint) => suspects.blocked.has(fingerprint),
      isAwaitingCrashRecords: (fingerprint) => suspects.awaitingRecords.has(fingerprint),
      isSuspect: (fingerprint) => suspects.suspected.has(fingerprint),
      recordCompletion: (fingerprint) => suspects.suspected.delete(fingerprint),
      recordCrash: (_upstream, _boot, fingerprints) => suspects.crashes.push(fingerprints),
      isRunningAtPeer: () => false,
      startRun: () => () => undefined
    }
    table = new UpstreamTable(silent, silent)
    admission = new Admission(() => random(), table, table, contracts as unknown as IContractStore, suspectTable, hasher, settings, silent)
  })

  afterEach(() => {
    admission.dispose()
    mock.timers.reset()
    mock.restoreAll()
  })

  it('dispatches short requests before long ones, and a long one after eight short ones', async () => {
    setUp(['u'], 1)
    request('first')
    request('long', { size: 'long' })
    for (let index = 1; index <= 9; index++) request(`s${index}`)
    await takeLog()
    const order: string[] = []
    for (let name = 'first'; order.length < 10; name = order.at(-1)!) {
      await release(name)
      order.push(...await takeLog())
    }
    expect(order).toEqual(['s1', 's2', 's3', 's4', 's5', 's6', 's7', 'long', 's8', 's9'])
  })

  it('divides slots between organisations by share, and orders the requests of each by deadline', async () => {
    setUp(['u'], 1)
    limitsOf = { big: { share: 3 } }
    request('first', { organisation: 'other' })
    for (let index = 4; index >= 1; index--) {
      request(`small${index}`, { organisation: 'small', deadlineAtMs: 10_000 + index })
      request(`big${index}`, { organisation: 'big', deadlineAtMs: 10_000 + index })
    }
    await takeLog()
    const order: string[] = []
    for (let name = 'first'; order.length < 8; name = order.at(-1)!) {
      await release(name)
      order.push(...await takeLog())
    }
    expect(order).toEqual(['small1', 'big1', 'big2', 'big3', 'small2', 'big4', 'small3', 'small4'])
  })

  it('reserves slots for short requests on each upstream', async () => {
    setUp(['u'], 8)
    request('s')
    for (let index = 0; index < 8; index++) request(`l${index}`, { size: 'long' })
    expect((await takeLog()).length).toEqual(7)
    request('s2')
    expect(await takeLog()).toEqual(['s2'])
    expect(admission.queued('s')).toEqual(2)
  })

  it('limits the requests of an organisation in flight and in the queue', async () => {
    setUp(['u'], 8)
    limitsOf = { c: { max_in_flight: 1, max_queue: 1 } }
    request('a')
    request('b')
    request('c')
    request('d', { organisation: 'other' })
    expect(await takeLog()).toEqual(['a', 'c queue_full', 'd'])
    await release('a')
    expect(await takeLog()).toEqual(['b'])
  })

  it('rejects at once a request that cannot meet its deadline according to measured times', async () => {
    setUp(['u'], 1)
    request('warm')
    await takeLog()
    await release('warm', { kind: 'completed', durationMs: 100, units: 1 })
    table.get('u')!.limit = 1
    request('tight', { deadlineAtMs: performance.now() + 99 })
    request('running', { deadlineAtMs: performance.now() + 5000 })
    request('q1', { deadlineAtMs: performance.now() + 200 })
    request('q2', { deadlineAtMs: performance.now() + 200 })
    expect(await takeLog()).toEqual(['tight deadline_unreachable', 'running', 'q2 deadline_unreachable'])
  })

  it('drops a queued request at its deadline and when its caller disconnects', async () => {
    setUp(['u'], 1)
    const controller = new AbortController()
    request('first')
    request('late', { deadlineAtMs: performance.now() + 500 })
    request('gone', { signal: controller.signal })
    await takeLog()
    controller.abort()
    mock.timers.tick(500)
    expect(await takeLog()).toEqual(['gone caller_gone', 'late deadline_unreachable'])
    expect(admission.queued('s')).toEqual(0)
  })

  it('runs one suspect at a time, beside other requests', async () => {
    setUp(['u', 'v'], 8)
    suspects.suspected = new Set(['p', 'q'])
    request('p')
    request('q')
    request('innocent')
    expect(await takeLog()).toEqual(['p', 'innocent'])
    await release('p')
    expect(await takeLog()).toEqual(['q'])
  })

  it('handles a request that was reset as a suspect before the crash is detected', async () => {
    setUp(['u', 'v'], 8)
    request('p')
    request('r')
    await takeLog()
    await release('p', { kind: 'failed', sent: true })
    await release('r', { kind: 'failed', sent: true })
    request('p')
    request('r')
    expect(await takeLog()).toEqual([])
    mock.timers.tick(250)
    expect(await takeLog()).toEqual(['p'])
  })

  it('rejects a blocked request and holds back one that awaits crash records of other entries', async () => {
    setUp(['u'], 8)
    suspects.blocked.add('p')
    suspects.awaitingRecords.add('q')
    request('p')
    request('q')
    expect(await takeLog()).toEqual(['p request_blocked'])
    suspects.awaitingRecords.clear()
    suspects.blocked.add('q')
    mock.timers.tick(100)
    expect(await takeLog()).toEqual(['q request_blocked'])
  })

  it('reports the requests in flight on a crashed upstream to the suspect table', async () => {
    setUp(['u'], 8)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 0, waiting: 0, capacity: 8, reported_at_ms: 0 }, 0)
    request('p')
    await takeLog()
    await release('p', { kind: 'failed', sent: true })
    table.reportPollFailure('u', true)
    expect(suspects.crashes).toEqual([['p']])
  })

  it('rejects at once without an upstream, and after two seconds when all are down', async () => {
    request('none')
    setUp(['u'], 8)
    request('excluded', { excluded: new Set(['u']) })
    expect(await takeLog()).toEqual(['none no_upstream', 'excluded no_upstream'])
    table.reportFailure('u', false)
    request('waiting')
    mock.timers.tick(1900)
    expect(await takeLog()).toEqual([])
    mock.timers.tick(200)
    expect(await takeLog()).toEqual(['waiting no_upstream'])
  })

  it('dispatches queued requests as soon as an upstream appears, and none to a leaving one', async () => {
    setUp(['u'], 1)
    request('a')
    request('b')
    await takeLog()
    table.markLeaving('u', '1')
    await release('a')
    expect(await takeLog()).toEqual([])
    table.updateMembers([member('u', { state: 'leaving' }), member('v')])
    expect(await takeLog()).toEqual(['b'])
    expect(slots.get('b')!.upstream.id).toEqual('v')
  })

  it('keeps the requests of all entries near the capacity that the upstream reports', async () => {
    setUp(['u'], 8)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 4, waiting: 4, capacity: 4, reported_at_ms: 0 }, 0)
    request('a')
    request('b')
    expect(await takeLog()).toEqual(['a'])
    mock.timers.tick(1500)
    expect(await takeLog()).toEqual(['b'])
  })

  it('holds back long requests while other entries fill the upstream, but only for a short time', async () => {
    setUp(['u'], 8)
    request('short')
    table.updatePeerOutstanding('u', 3)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 3, waiting: 0, capacity: 4, reported_at_ms: 0 }, 0)
    request('long', { size: 'long' })
    expect(await takeLog()).toEqual(['short'])
    mock.timers.tick(1_100)
    expect(await takeLog()).toEqual(['long'])
  })

  it('raises the limit of an upstream while it is fully used', async () => {
    setUp(['u'], 1)
    request('a')
    await takeLog()
    await release('a')
    expect(table.get('u')!.limit).toEqual(2)
  })

  it('does not reject a short call because longer calls of its size raise the average', async () => {
    setUp(['u'], 4)
    for (const durationMs of [10, ...Array.from({ length: 40 }, () => 500)]) {
      request('r')
      await takeLog()
      await release('r', { kind: 'completed', durationMs, units: 1 })
    }
    request('brief', { deadlineAtMs: performance.now() + 100 })
    expect(await takeLog()).toEqual(['brief'])
  })

  it('gives a recovering upstream a fraction of the traffic that grows with time', async () => {
    setUp(['u', 'v'], 100)
    table.reportFailure('u', false)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 0, waiting: 0, capacity: 100, reported_at_ms: 0 }, performance.now())
    random = () => 0.5
    request('a')
    await takeLog()
    request('b')
    await takeLog()
    expect([slots.get('a')!.upstream.id, slots.get('b')!.upstream.id]).toEqual(['v', 'v'])
    mock.timers.tick(6_000)
    request('c')
    await takeLog()
    expect(slots.get('c')!.upstream.id).toEqual('u')
  })
})
