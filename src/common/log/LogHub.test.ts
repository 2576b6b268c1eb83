import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { Result } from 'neverthrow'
import type { LogEntry } from './LogEntry.js'
import type { LogError } from './LogError.js'
import { LogHub } from './LogHub.js'
import { FakeLog } from './test/FakeLog.js'
import { testServices } from './test/testServices.js'
import { VirtualTime } from './test/VirtualTime.test.js'

describe('LogHub', () => {
  let time: VirtualTime
  let log: FakeLog
  let hub: LogHub
  let applied: string[]
  let gaps: number[]

  beforeEach(() => {
    time = new VirtualTime()
    log = new FakeLog()
    hub = createHub()
  })
  afterEach(() => {
    hub.dispose()
    time.restore()
  })

  function createHub (overrides = {}): LogHub {
    const { settings, logger, metrics } = testServices('entry-a', overrides)
    const created = new LogHub(log, settings, logger, metrics)
    applied = []
    gaps = []
    created.addFold('steps', {
      apply (entry) {
        const id = (entry.value as { id: string }).id
        if (id === 'bad') throw new Error('malformed')
        applied.push(id)
      },
      onGap: offset => gaps.push(offset)
    })
    return created
  }

  function observe (result: PromiseLike<Result<LogEntry, LogError>>) {
    const observed: { result?: Result<LogEntry, LogError> } = {}
    result.then(value => { observed.result = value }, () => {})
    return observed
  }

  it('resolves an append only after the record has been read back and applied', async () => {
    hub.start()
    const observed = observe(hub.append('steps', { id: 'a' }, 1000))
    await time.advance(100)
    expect(observed.result?._unsafeUnwrap().offset).toEqual(0)
    expect(applied).toEqual(['a'])
  })

  it('appends again after a lost response and applies the record once', async () => {
    const outcomes = ['response_lost', 'request_lost', 'response_lost', 'ok'] as const
    let outcomeIndex = 0
    log.decideOutcome = () => outcomes[outcomeIndex++] ?? 'ok'
    // The tail is started later, so that at first only the responses can complete the append.
    hub.appendEventually('steps', { id: 'a' })
    await time.advance(2000)
    hub.start()
    await time.advance(200)
    expect(log.entries('steps').length).toEqual(3)
    expect(applied).toEqual(['a'])
  })

  it('reports mayTakeEffect false when every attempt was rejected and true after a lost request', async () => {
    hub.start()
    log.decideOutcome = () => 'rejected'
    const rejected = observe(hub.append('steps', { id: 'a' }, 500))
    await time.advance(600)
    expect(rejected.result?._unsafeUnwrapErr().mayTakeEffect).toEqual(false)
    // Longer than the maximum back-off, so that the next record is sent; mayTakeEffect is false for a record that was never sent.
    await time.advance(3000)
    log.decideOutcome = () => 'request_lost'
    const lost = observe(hub.append('steps', { id: 'b' }, 500))
    await time.advance(600)
    expect(lost.result?._unsafeUnwrapErr().mayTakeEffect).toEqual(true)
  })

  it('does not append a record again after reporting mayTakeEffect false to the caller', async () => {
    hub.start()
    log.decideOutcome = () => 'rejected'
    observe(hub.append('steps', { id: 'a' }, 500))
    await time.advance(600)
    log.decideOutcome = () => 'ok'
    await time.advance(10_000, 50)
    expect(log.entries('steps')).toEqual([])
  })

  it('does not append a record again that timed out while a rejected append was in flight', async () => {
    hub.start()
    log.latencyMs = 400
    log.decideOutcome = () => log.appendCount === 1 ? 'rejected' : 'ok'
    const observed = observe(hub.append('steps', { id: 'a' }, 300))
    await time.advance(3000, 20)
    expect(observed.result?._unsafeUnwrapErr().mayTakeEffect).toEqual(true)
    expect(log.entries('steps')).toEqual([])
  })

  it('appends in batches and keeps the minimum interval between appends to all streams', async () => {
    hub.start()
    for (let index = 0; index < 600; index++) hub.appendEventually('steps', { id: `s${index}` })
    hub.appendEventually('claims', { id: 'c' })
    await time.advance(400)
    expect(Math.max(...log.batchSizes)).toEqual(256)
    expect(applied.length).toEqual(600)
    const spacings = log.appendTimesMs.slice(1).map((atMs, index) => atMs - (log.appendTimesMs[index] ?? 0))
    expect(spacings.every(spacing => spacing >= 50)).toEqual(true)
  })

  it('reports an outage and appends the queued records after it', async () => {
    hub.start()
    await time.advance(100)
    log.isDown = true
    hub.appendEventually('steps', { id: 'a' })
    await time.advance(8000, 50)
    expect(hub.status('steps').isFailing).toEqual(true)
    log.isDown = false
    await time.advance(4000, 50)
    expect(applied).toEqual(['a'])
    expect(hub.status('steps').isFailing).toEqual(false)
  })

  it('reports a retention gap and continues at the earliest offset', async () => {
    log.write('steps', { id: 'a' }, { id: 'b' }, { id: 'c' })
    log.dropBefore('steps', 2)
    const caughtUp: string[] = []
    hub.onCaughtUp(stream => caughtUp.push(stream))
    hub.start()
    await time.advance(100)
    expect(gaps).toEqual([2])
    expect(applied).toEqual(['c'])
    expect(caughtUp.includes('steps')).toEqual(true)
  })

  it('continues after records without an id and after a fold that throws', async () => {
    log.write('steps', { id: 'bad' }, null, 7, { id: 'good' })
    hub.start()
    await time.advance(100)
    expect(applied).toEqual(['good'])
  })

  it('isolates the rejected record of a batch without losing the others', async () => {
    hub.start()
    log.decideOutcome = values => values.some(value => (value as { id: string }).id === 'x') ? 'malformed' : 'ok'
    const observed = observe(hub.append('steps', { id: 'x' }, 2000))
    hub.appendEventually('steps', { id: 'y' })
    await time.advance(1000)
    expect(observed.result?._unsafeUnwrapErr().kind).toEqual('log_rejected')
    expect(applied).toEqual(['y'])
  })

  it('resolves flush when the queue is empty or at the timeout', async () => {
    hub.start()
    log.isDown = true
    hub.appendEventually('steps', { id: 'a' })
    let flushed = 0
    hub.flush(300).then(() => flushed++, () => {})
    await time.advance(200)
    expect(flushed).toEqual(0)
    await time.advance(200)
    expect(flushed).toEqual(1)
    log.isDown = false
    hub.flush(10_000).then(() => flushed++, () => {})
    await time.advance(4000, 20)
    expect(flushed).toEqual(2)
  })
})
