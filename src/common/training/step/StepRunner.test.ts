import { afterEach, beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { GenerationChunk } from '../../generation/GenerationChunk.js'
import type { GenerationError } from '../../generation/GenerationError.js'
import type { GenerationRequest } from '../../generation/GenerationRequest.js'
import type { IGenerator } from '../../generation/IGenerator.js'
import { SampleOwnership } from '../sample/SampleOwnership.js'
import { SampleScorer } from '../sample/SampleScorer.js'
import { StepRunner } from './StepRunner.js'
import { StepTable } from './StepTable.js'
import { FakeEngines } from '../test/FakeEngines.js'
import { MemoryLog } from '../test/MemoryLog.js'
import { fakes } from '../test/fakes.js'

const base = { organisation: 'felt', trainer: 'brim' }
type Item = Result<GenerationChunk, GenerationError>

/** Generator whose streams the test feeds chunk by chunk. */
class FakeGenerator implements IGenerator {
  readonly open: { request: GenerationRequest, send: (item: Item) => void, isClosed: boolean }[] = []

  async * generate (request: GenerationRequest): AsyncGenerator<Item> {
    const items: Item[] = []
    let wake = (): void => {}
    const call = { request, isClosed: false, send: (item: Item) => { items.push(item); wake() } }
    this.open.push(call)
    request.signal.addEventListener('abort', () => wake())
    try {
      for (;;) {
        while (items.length === 0 && !request.signal.aborted) await new Promise<void>((resolve) => { wake = resolve })
        const item = items.shift() ?? err({ kind: 'caller_gone', message: '', outcome: 'unknown', status: 499 })
        yield item
        if (item.isErr() || item.value.finishReason !== undefined) return
      }
    } finally {
      call.isClosed = true
    }
  }

  openGroups (): string[] {
    return this.open.filter(({ isClosed }) => !isClosed).map(({ request }) => request.prompt.slice('prompt '.length))
  }
}

const chunk = (from: number, version: number, finishReason?: string): Item =>
  ok({ text: 't', tokenIds: [1], origin: { from, to: from + 1, version, kv_version: version }, finishReason })

async function advance (ms = 0): Promise<void> {
  for (let elapsed = 0; elapsed <= ms; elapsed += 20) {
    mock.timers.tick(20)
    for (let i = 0; i < 5; i++) await new Promise((resolve) => setImmediate(resolve))
  }
}

function createEntry (log: MemoryLog, live: string[] = ['a'], terms: Record<string, unknown> = {}, id = 'a') {
  const hub = log.hub()
  const table = new StepTable(fakes.hash, hub)
  hub.follow()
  const peers = fakes.peers(id, live)
  const generator = new FakeGenerator()
  const engines = new FakeEngines({ s: [] }, 'score')
  const scorer = new SampleScorer(engines.admission, engines.client, fakes.hash)
  const ownership = new SampleOwnership(peers, fakes.hash)
  const runner = new StepRunner(table, generator, scorer, ownership, hub, fakes.contracts(terms), fakes.logger, fakes.metrics)
  runner.start()
  return { hub, table, peers, generator, engines, runner }
}

const submit = (log: MemoryLog, step: number, ...groups: string[]) =>
  log.push({ type: 'submit', id: `s${step}`, ...base, step, groups: groups.map((group) => fakes.group(group, 2)), at_ms: Date.now() })
const weights = (log: MemoryLog, version: number) => log.push({ type: 'weights', id: `w${version}`, ...base, version })
const recorded = (log: MemoryLog) => log.entries.map(({ value }) => value as { type: string, sample: { reward?: number } }).filter(({ type }) => type === 'sample')

describe('StepRunner', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'] })
    mock.method(performance, 'now', () => Date.now())
  })
  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  it('starts older steps first and group by group, up to the concurrency limit of the contract', async () => {
    const log = new MemoryLog()
    const { generator, runner } = createEntry(log)
    submit(log, 2, 'late')
    submit(log, 1, ...Array.from({ length: 127 }, (_, i) => `g${i}`))
    submit(log, 3, ...Array.from({ length: 10 }, (_, i) => `x${i}`))
    await advance(40)
    expect(generator.openGroups().length).toEqual(256)
    expect(generator.openGroups().slice(0, 3)).toEqual(['g0', 'g0', 'g1'])
    expect(generator.openGroups().slice(-2)).toEqual(['late', 'late'])
    runner.dispose()
    await advance()
    expect(generator.openGroups()).toEqual([])
  })

  // Engines return equal text for equal prompts and seeds, which makes a group useless for training.
  it('gives each sample of a group its own seed', async () => {
    const log = new MemoryLog()
    const { generator, runner } = createEntry(log)
    submit(log, 1, ...Array.from({ length: 4 }, (_, i) => `g${i}`))
    await advance(40)
    const seeds = generator.open.map(({ request }) => request.parameters['seed'])
    expect(new Set(seeds).size).toEqual(8)
    runner.dispose()
  })

  it('divides the samples between entries and takes over those of an entry that failed', async () => {
    const log = new MemoryLog()
    const a = createEntry(log, ['a', 'b'], {}, 'a')
    const b = createEntry(log, ['a', 'b'], {}, 'b')
    submit(log, 1, ...Array.from({ length: 20 }, (_, i) => `g${i}`))
    await advance(40)
    expect(a.generator.openGroups().length + b.generator.openGroups().length).toEqual(40)
    expect(a.generator.openGroups().length).toBeGreaterThan(0)
    expect(b.generator.openGroups().length).toBeGreaterThan(0)
    b.runner.dispose()
    a.peers.live = ['a']
    a.peers.change.fire()
    await advance(40)
    expect(a.generator.openGroups().length).toEqual(40)
    a.runner.dispose()
  })

  it('records finished samples once, keeps them while the log is unavailable and does not run them again', async () => {
    const log = new MemoryLog()
    const { generator, hub, runner } = createEntry(log)
    submit(log, 1, 'g')
    await advance(40)
    hub.isDown = true
    generator.open.forEach(({ send }) => send(chunk(0, 0, 'stop')))
    await advance(60_000)
    expect(generator.open.length).toEqual(2)
    expect(runner.inProgressCount).toEqual(2)
    hub.recover()
    await advance(40)
    expect(recorded(log).length).toEqual(2)
    expect(runner.inProgressCount).toEqual(0)
    runner.dispose()
  })

  it('aborts a run whose index another entry recorded', async () => {
    const log = new MemoryLog()
    const { generator, runner } = createEntry(log)
    submit(log, 1, 'g')
    await advance(40)
    const origin = [{ from: 0, to: 1, version: 0, kv_version: 0 }]
    log.push({ type: 'sample', id: 'other', ...base, step: 1, group: 'g', sample: { index: 0, attempt: 0, text: '', token_ids: [1], origin } })
    await advance(40)
    expect(generator.open.map(({ isClosed }) => isClosed)).toEqual([true, false])
    runner.dispose()
  })

  it('aborts a running sample as soon as its oldest version exceeds the staleness bound, and runs it again', async () => {
    const log = new MemoryLog()
    const { generator, runner } = createEntry(log)
    weights(log, 5)
    submit(log, 1, 'g')
    await advance(40)
    generator.open.forEach(({ send }) => send(chunk(0, 5)))
    weights(log, 6)
    await advance(600)
    expect(generator.open.length).toEqual(2)
    weights(log, 7)
    await advance(40)
    expect(generator.open.map(({ isClosed }) => isClosed)).toEqual([true, true])
    await advance(600)
    expect(generator.openGroups().length).toEqual(2)
    runner.dispose()
  })

  it('does not record a sample that is stale when it starts or completes', async () => {
    const log = new MemoryLog()
    const { generator, runner } = createEntry(log)
    weights(log, 5)
    submit(log, 1, 'g')
    await advance(40)
    generator.open[0]!.send(chunk(0, 3))
    await advance(40)
    expect(generator.open.map(({ isClosed }) => isClosed)).toEqual([true, false])
    generator.open[1]!.send(ok({ text: 't', tokenIds: [1], origin: { from: 0, to: 1, version: 5, kv_version: 3 }, finishReason: 'stop' }))
    await advance(40)
    expect(generator.open[1]!.isClosed).toEqual(true)
    await advance(600)
    expect(generator.openGroups().length).toEqual(2)
    expect(recorded(log)).toEqual([])
    runner.dispose()
  })

  it('retries a failed sample with increasing back-off', async () => {
    const log = new MemoryLog()
    const { generator, runner } = createEntry(log)
    submit(log, 1, 'g')
    for (let round = 0; round < 12; round++) {
      await advance(1000)
      generator.open.forEach(({ send }) => send(err({ kind: 'engine_failed', message: '', outcome: 'unknown', status: 502 })))
    }
    const attempts = generator.open.length
    expect(attempts).toBeGreaterThan(6)
    expect(attempts).toBeLessThan(18)
    await advance(31_000)
    expect(generator.openGroups().length).toEqual(2)
    runner.dispose()
  })

  // Without these records the group never becomes complete and its trainer waits forever.
  it('records a blocked prompt and an empty generation as failures without tokens', async () => {
    const log = new MemoryLog()
    const { table, generator, runner } = createEntry(log, ['a'], { scorer: 'score' })
    submit(log, 1, 'g')
    await advance(40)
    generator.open[0]!.send(chunk(0, 0))
    generator.open[0]!.send(err({ kind: 'request_blocked', message: '', outcome: 'unknown', status: 422 }))
    generator.open[1]!.send(ok({ text: '', tokenIds: [], finishReason: 'stop' }))
    await advance(40)
    // The block may be lifted after the first rejection, so the sample is retried once before it is recorded as failed.
    expect(table.get('felt', 'brim')?.group(1, 'g')?.samples[0]).toEqual(undefined)
    await advance(11_900)
    expect(generator.open.length).toEqual(2)
    await advance(1_100)
    expect(generator.open.length).toEqual(3)
    generator.open[2]!.send(err({ kind: 'request_blocked', message: '', outcome: 'not_run', status: 422 }))
    await advance(40)
    const empty = { attempt: 0, text: '', token_ids: [], origin: [] }
    expect(table.get('felt', 'brim')?.group(1, 'g')?.samples).toEqual([
      { index: 0, ...empty, failure: 'request_blocked' },
      { index: 1, ...empty, failure: 'no_tokens' }
    ])
    expect(generator.openGroups()).toEqual([])
    runner.dispose()
  })

  it('discards a sample whose origin does not cover every token', async () => {
    const log = new MemoryLog()
    const { generator, runner } = createEntry(log)
    submit(log, 1, 'g')
    await advance(40)
    generator.open[0]!.send(ok({ text: 't', tokenIds: [1, 2], origin: { from: 0, to: 1, version: 0, kv_version: 0 }, finishReason: 'stop' }))
    await advance(40)
    expect(recorded(log)).toEqual([])
    runner.dispose()
  })

  it('scores a sample before recording it and retries a failed score request', async () => {
    const log = new MemoryLog()
    const { generator, engines, runner } = createEntry(log, ['a'], { scorer: 'score' })
    const responses = [{ status: 0, body: {} }, { status: 500, body: {} }, { status: 200, body: { reward: 'x' } }]
    engines.respond = () => responses.shift() ?? { status: 200, body: { reward: 0.5 } }
    submit(log, 1, 'g')
    await advance(40)
    generator.open[0]!.send(chunk(0, 0, 'stop'))
    await advance(100)
    expect(recorded(log)).toEqual([])
    await advance(5000)
    expect(recorded(log).map(({ sample }) => sample.reward)).toEqual([0.5])
    expect(engines.results.map(({ kind }) => kind)).toEqual(['failed', 'failed', 'completed', 'completed'])
    runner.dispose()
  })

  it('starts nothing while the state of the trainer is incomplete', async () => {
    const log = new MemoryLog()
    const { generator, hub, runner } = createEntry(log)
    hub.isCaughtUp = false
    submit(log, 1, 'g')
    await advance(600)
    expect(generator.open).toEqual([])
    runner.dispose()
  })
})
