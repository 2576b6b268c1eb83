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
  let suspects: { blocked: Set<string>, settling: Set<string>, suspected: Set<string>, crashes: string[][] }
  let random: () => number

  const member = (id: string, patch: Partial<Member> = {}): Member => ({
    id, role: 'upstream', service: 's', address: '', failure_domain: 'f', state: 'live', incarnation: '1', ...patch
  })
  const flush = async (): Promise<void> => { for (let turn = 0; turn < 10; turn++) await Promise.resolve() }

  /** Asks for a slot; its name or its refusal is logged when it is known. */
  function ask (name: string, patch: Partial<AdmissionRequest> = {}): void {
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

  async function taken (): Promise<string[]> {
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
    suspects = { blocked: new Set(), settling: new Set(), suspected: new Set(), crashes: [] }
    const contracts = { current: (organisation: string) => ({ contract: { limits: { ...limits, ...limitsOf[organisation] } } }) }
    const suspectTable: ISuspectTable = {
      isBlocked: (fingerprint) => suspects.blocked.has(fingerprint),
      isAwaitingCrashRecords: (fingerprint) => suspects.settling.has(fingerprint),
      isSuspect: (fingerprint) => suspects.suspected.has(fingerprint),
      recordCompletion: (fingerprint) => suspects.suspected.delete(fingerprint),
      recordCrash: (_upstream, _boot, fingerprints) => suspects.crashes.push(fingerprints)
    }
    table = new UpstreamTable(silent, silent)
    admission = new Admission(() => random(), table, table, contracts as unknown as IContractStore, suspectTable, hasher, settings, silent)
  })

  afterEach(() => {
    admission.dispose()
    mock.timers.reset()
    mock.restoreAll()
  })

  it('serves short work before long work, and long work after eight short requests', async () => {
    setUp(['u'], 1)
    ask('first')
    ask('long', { size: 'long' })
    for (let index = 1; index <= 9; index++) ask(`s${index}`)
    await taken()
    const order: string[] = []
    for (let name = 'first'; order.length < 10; name = order.at(-1)!) {
      await release(name)
      order.push(...await taken())
    }
    expect(order).toEqual(['s1', 's2', 's3', 's4', 's5', 's6', 's7', 'long', 's8', 's9'])
  })

  it('divides places between organisations by share, and orders each one by deadline', async () => {
    setUp(['u'], 1)
    limitsOf = { big: { share: 3 } }
    ask('first', { organisation: 'other' })
    for (let index = 4; index >= 1; index--) {
      ask(`small${index}`, { organisation: 'small', deadlineAtMs: 10_000 + index })
      ask(`big${index}`, { organisation: 'big', deadlineAtMs: 10_000 + index })
    }
    await taken()
    const order: string[] = []
    for (let name = 'first'; order.length < 8; name = order.at(-1)!) {
      await release(name)
      order.push(...await taken())
    }
    expect(order).toEqual(['small1', 'big1', 'big2', 'big3', 'small2', 'big4', 'small3', 'small4'])
  })

  it('leaves places for short work on each upstream', async () => {
    setUp(['u'], 8)
    ask('s')
    for (let index = 0; index < 8; index++) ask(`l${index}`, { size: 'long' })
    expect((await taken()).length).toEqual(7)
    ask('s2')
    expect(await taken()).toEqual(['s2'])
    expect(admission.queued('s')).toEqual(2)
  })

  it('bounds the requests in flight and in the queue of an organisation', async () => {
    setUp(['u'], 8)
    limitsOf = { c: { max_in_flight: 1, max_queue: 1 } }
    ask('a')
    ask('b')
    ask('c')
    ask('d', { organisation: 'other' })
    expect(await taken()).toEqual(['a', 'c queue_full', 'd'])
    await release('a')
    expect(await taken()).toEqual(['b'])
  })

  it('refuses at once what cannot meet its deadline by the measured times', async () => {
    setUp(['u'], 1)
    ask('warm')
    await taken()
    await release('warm', { kind: 'completed', durationMs: 100, units: 1 })
    table.get('u')!.limit = 1
    ask('tight', { deadlineAtMs: performance.now() + 99 })
    ask('running', { deadlineAtMs: performance.now() + 5000 })
    ask('q1', { deadlineAtMs: performance.now() + 200 })
    ask('q2', { deadlineAtMs: performance.now() + 200 })
    expect(await taken()).toEqual(['tight deadline_unreachable', 'running', 'q2 deadline_unreachable'])
  })

  it('drops queued work at its deadline and when its caller goes away', async () => {
    setUp(['u'], 1)
    const controller = new AbortController()
    ask('first')
    ask('late', { deadlineAtMs: performance.now() + 500 })
    ask('gone', { signal: controller.signal })
    await taken()
    controller.abort()
    mock.timers.tick(500)
    expect(await taken()).toEqual(['gone caller_gone', 'late deadline_unreachable'])
    expect(admission.queued('s')).toEqual(0)
  })

  it('runs one suspect at a time, beside other work', async () => {
    setUp(['u', 'v'], 8)
    suspects.suspected = new Set(['p', 'q'])
    ask('p')
    ask('q')
    ask('innocent')
    expect(await taken()).toEqual(['p', 'innocent'])
    await release('p')
    expect(await taken()).toEqual(['q'])
  })

  it('handles a request that was reset as a suspect before the crash is known', async () => {
    setUp(['u', 'v'], 8)
    ask('p')
    ask('r')
    await taken()
    await release('p', { kind: 'failed', sent: true })
    await release('r', { kind: 'failed', sent: true })
    ask('p')
    ask('r')
    expect(await taken()).toEqual([])
    mock.timers.tick(250)
    expect(await taken()).toEqual(['p'])
  })

  it('refuses a blocked request and holds one whose last crash is not judged yet', async () => {
    setUp(['u'], 8)
    suspects.blocked.add('p')
    suspects.settling.add('q')
    ask('p')
    ask('q')
    expect(await taken()).toEqual(['p request_blocked'])
    suspects.settling.clear()
    suspects.blocked.add('q')
    mock.timers.tick(100)
    expect(await taken()).toEqual(['q request_blocked'])
  })

  it('reports the requests in flight on a crashed upstream to the suspect table', async () => {
    setUp(['u'], 8)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 0, waiting: 0, capacity: 8, reported_at_ms: 0 }, 0)
    ask('p')
    await taken()
    await release('p', { kind: 'failed', sent: true })
    table.reportPollFailure('u', true)
    expect(suspects.crashes).toEqual([['p']])
  })

  it('refuses at once without an upstream, and after two seconds when all are down', async () => {
    ask('none')
    setUp(['u'], 8)
    ask('excluded', { excluded: new Set(['u']) })
    expect(await taken()).toEqual(['none no_upstream', 'excluded no_upstream'])
    table.reportFailure('u', false)
    ask('waiting')
    mock.timers.tick(1900)
    expect(await taken()).toEqual([])
    mock.timers.tick(200)
    expect(await taken()).toEqual(['waiting no_upstream'])
  })

  it('dispatches queued work as soon as an upstream appears, and none to a leaving one', async () => {
    setUp(['u'], 1)
    ask('a')
    ask('b')
    await taken()
    table.markLeaving('u', '1')
    await release('a')
    expect(await taken()).toEqual([])
    table.updateMembers([member('u', { state: 'leaving' }), member('v')])
    expect(await taken()).toEqual(['b'])
    expect(slots.get('b')!.upstream.id).toEqual('v')
  })

  it('keeps the requests of all entries near the capacity that the upstream reports', async () => {
    setUp(['u'], 8)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 4, waiting: 4, capacity: 4, reported_at_ms: 0 }, 0)
    ask('a')
    ask('b')
    expect(await taken()).toEqual(['a'])
    mock.timers.tick(1500)
    expect(await taken()).toEqual(['b'])
  })

  it('holds long work back while other entries fill the upstream, but not for long', async () => {
    setUp(['u'], 8)
    ask('short')
    table.updatePeerOutstanding('u', 3)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 3, waiting: 0, capacity: 4, reported_at_ms: 0 }, 0)
    ask('long', { size: 'long' })
    expect(await taken()).toEqual(['short'])
    mock.timers.tick(1_100)
    expect(await taken()).toEqual(['long'])
  })

  it('raises the limit of an upstream while it is used up', async () => {
    setUp(['u'], 1)
    ask('a')
    await taken()
    await release('a')
    expect(table.get('u')!.limit).toEqual(2)
  })

  it('does not refuse a short call because longer calls of its size raise the average', async () => {
    setUp(['u'], 4)
    for (const durationMs of [10, ...Array.from({ length: 40 }, () => 500)]) {
      ask('r')
      await taken()
      await release('r', { kind: 'completed', durationMs, units: 1 })
    }
    ask('brief', { deadlineAtMs: performance.now() + 100 })
    expect(await taken()).toEqual(['brief'])
  })

  it('gives a recovering upstream a part of the traffic that grows with time', async () => {
    setUp(['u', 'v'], 100)
    table.reportFailure('u', false)
    table.updateLoad('u', { boot_id: 'b1', state: 'serving', running: 0, waiting: 0, capacity: 100, reported_at_ms: 0 }, performance.now())
    random = () => 0.5
    ask('a')
    await taken()
    ask('b')
    await taken()
    expect([slots.get('a')!.upstream.id, slots.get('b')!.upstream.id]).toEqual(['v', 'v'])
    mock.timers.tick(6_000)
    ask('c')
    await taken()
    expect(slots.get('c')!.upstream.id).toEqual('u')
  })
})
