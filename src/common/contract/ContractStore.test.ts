import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { LogHub } from '../log/LogHub.js'
import { FakeLog } from '../log/test/FakeLog.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { ContractError } from './ContractError.js'
import { ContractPublisher } from './ContractPublisher.js'
import type { ContractRevision } from './ContractRevision.js'
import { ContractStore } from './ContractStore.js'
import { ContractSnapshotRenewer } from './ContractSnapshotRenewer.js'
import { contractText } from './test/contractText.js'

describe('ContractStore, ContractPublisher and ContractSnapshotRenewer', () => {
  let time: VirtualTime
  let log: FakeLog
  let hubs: LogHub[]

  beforeEach(() => {
    time = new VirtualTime()
    log = new FakeLog()
    hubs = []
  })
  afterEach(() => {
    for (const hub of hubs) hub.dispose()
    time.restore()
  })

  function createEntry (id = 'entry-a') {
    const { settings, logger, metrics } = testServices(id, { services: [] })
    const hub = new LogHub(log, settings, logger, metrics)
    hubs.push(hub)
    const store = new ContractStore(hub, settings, logger, metrics)
    const publisher = new ContractPublisher(store, hub, settings)
    const renewer = new ContractSnapshotRenewer(store, hub, settings, logger)
    hub.start()
    return { hub, store, publisher, renewer }
  }

  async function publish (publisher: ContractPublisher, base: number, text: string, advanceMs = 300) {
    const result: { revision?: ContractRevision, error?: ContractError } = {}
    publisher.publish('a', base, 'mei', text).match(revision => { result.revision = revision }, error => { result.error = error }).catch(() => {})
    await time.advance(advanceMs, 20)
    return result
  }

  function snapshots (): unknown[] {
    return log.entries('contracts').filter(entry => (entry.value as { type: string }).type === 'snapshot')
  }

  it('puts a publication into force on all entries and reports conflicts with the current revision', async () => {
    const [one, two] = [createEntry(), createEntry('entry-b')]
    await time.advance(100)
    expect((await publish(one.publisher, 0, contractText('a', 1))).revision?.revision).toEqual(1)
    expect(two.store.current('a')?.contract.limits.share).toEqual(1)
    expect(two.store.findByTokenDigest('61'.padStart(64, '0'))?.organisation).toEqual('a')
    const error = (await publish(two.publisher, 0, contractText('a', 2))).error
    expect(error?.kind === 'contract_conflict' && error.currentRevision).toEqual(1)
  })

  it('accepts exactly one of two concurrent publications', async () => {
    const [one, two] = [createEntry(), createEntry('entry-b')]
    await time.advance(100)
    const first = publish(one.publisher, 0, contractText('a', 1), 400)
    const second = await publish(two.publisher, 0, contractText('a', 2), 0)
    const firstResult = await first
    expect([firstResult, second].map(result => result.error?.kind ?? 'accepted').sort()).toEqual(['accepted', 'contract_conflict'])
    expect(one.store.current('a')?.text).toEqual(two.store.current('a')?.text)
  })

  it('names line, field and rule of an invalid contract without appending it', async () => {
    const { publisher } = createEntry()
    await time.advance(100)
    const text = contractText('a', 1).replace('key_window_s = 10', 'key_window_s = 20')
    const error = (await publish(publisher, 0, text)).error
    expect(error?.kind === 'contract_invalid' && [error.line, error.field]).toEqual([10, 'limits.key_window_s'])
    expect(log.appendCount).toEqual(0)
  })

  it('reports whether a publication may still be applied when the log is unavailable', async () => {
    const { publisher } = createEntry()
    await time.advance(100)
    log.isDown = true
    const rejected = (await publish(publisher, 0, contractText('a', 1), 11_000)).error
    expect(rejected?.kind === 'contract_unavailable' && rejected.mayTakeEffect).toEqual(false)
  })

  it('accepts only higher revisions from peers, and prefers the fold for equal ones', async () => {
    const { store, publisher } = createEntry()
    await time.advance(100)
    await publish(publisher, 0, contractText('a', 1))
    const offer = (revision: number, share: number): void => {
      store.offer({ organisation: 'a', revision, operator: 'mei', atMs: 0, text: contractText('a', share) })
    }
    offer(1, 9)
    expect(store.current('a')?.contract.limits.share).toEqual(1)
    offer(2, 5)
    offer(1, 7)
    expect(store.current('a')?.revision).toEqual(2)
    log.write('contracts', { type: 'publish', id: 'x', organisation: 'a', base_revision: 1, operator: 'mei', at_ms: 0, text: contractText('a', 6) })
    await time.advance(100)
    expect(store.current('a')?.contract.limits.share).toEqual(6)
  })

  it('keeps the highest revision offered by peers while the log is unavailable', async () => {
    log.isDown = true
    const { store } = createEntry()
    for (const revision of [3, 5, 4]) store.offer({ organisation: 'a', revision, operator: 'mei', atMs: 0, text: contractText('a', revision) })
    expect(store.current('a')?.contract.limits.share).toEqual(5)
  })

  it('is unverified after a gap until the stream was read again and peers were queried', async () => {
    const { store, hub } = createEntry()
    await time.advance(100)
    store.markPeersQueried(0)
    expect(store.isVerified()).toEqual(true)
    log.isDown = true
    await time.advance(8000, 50)
    log.write('contracts', { type: 'none', id: 'x' }, { type: 'none', id: 'y' })
    log.dropBefore('contracts', 1)
    log.isDown = false
    await time.advance(4000, 50)
    expect(hub.status('contracts').isCaughtUp).toEqual(true)
    expect(store.isVerified()).toEqual(false)
    store.markPeersQueried(0)
    expect(store.isVerified()).toEqual(false)
    store.markPeersQueried(store.gapCount)
    expect(store.isVerified()).toEqual(true)
  })

  it('renews a contract once among several entries, before retention removes it and after an outage', async () => {
    let callCount = 0
    // Gives the entries different jitters, so that one of them renews before the others are due.
    mock.method(Math, 'random', () => ((callCount++ % 3) + 0.5) / 3)
    const entries = ['entry-a', 'entry-b', 'entry-c'].map(id => createEntry(id))
    await time.advance(100)
    await publish(entries[0]?.publisher as ContractPublisher, 0, contractText('a', 1))
    for (const { renewer } of entries) renewer.start()
    await time.advance(19_000, 100)
    expect(snapshots().length).toEqual(0)
    await time.advance(7000, 100)
    expect(snapshots().length).toEqual(1)
    log.isDown = true
    await time.advance(10_000, 100)
    const appendCount = log.appendCount
    await time.advance(110_000, 500)
    expect(log.appendCount - appendCount).toEqual(0)
    log.dropBefore('contracts', log.entries('contracts').length)
    log.isDown = false
    await time.advance(15_000, 100)
    expect(snapshots().length >= 1).toEqual(true)
    const late = createEntry('entry-d')
    await time.advance(200)
    expect(late.store.current('a')?.revision).toEqual(1)
    expect(late.store.isExact('a')).toEqual(true)
    for (const { renewer } of entries) renewer.dispose()
  })
})
