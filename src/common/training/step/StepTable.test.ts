import { describe, it, mock, beforeEach, afterEach } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { GroupSpec } from '../../schema/GroupSpec.js'
import { TrainerSnapshotRenewer } from '../snapshot/TrainerSnapshotRenewer.js'
import { StepTable } from './StepTable.js'
import { MemoryLog } from '../test/MemoryLog.js'
import { fakes } from '../test/fakes.js'

const base = { organisation: 'felt', trainer: 'brim' }
let nextId = 0
const submit = (step: number, groups: GroupSpec[]) => ({ type: 'submit', id: `r${nextId++}`, ...base, step, groups, at_ms: 0 })
const sample = (group: string, index = 0, attempt = 0, text = '', step = 1) => ({
  type: 'sample',
  id: `r${nextId++}`,
  ...base,
  step,
  group,
  sample: { index, attempt, text, token_ids: [1], origin: [{ from: 0, to: 1, version: 0, kv_version: 0 }] }
})
const expire = (group: string, index = 0, attempt = 0) => ({ type: 'expire', id: `r${nextId++}`, ...base, step: 1, group, index, attempt })
const ack = (cursor: number) => ({ type: 'ack', id: `r${nextId++}`, ...base, cursor })

function createTable (log: MemoryLog) {
  const hub = log.hub()
  const table = new StepTable(fakes.hash, hub)
  hub.follow()
  return { hub, table }
}

function stateOf (table: StepTable): unknown {
  const state = table.get('felt', 'brim')
  return state === undefined
    ? undefined
    : { version: state.version, cursor: state.cursor, steps: [...state.steps], groups: [...state.groups].sort() }
}

describe('StepTable', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval', 'Date'] })
    mock.method(performance, 'now', () => Date.now())
  })
  afterEach(() => {
    mock.timers.reset()
    mock.restoreAll()
  })

  it('accepts only the first sample of an attempt, so that a second runner cannot replace its content', () => {
    const log = new MemoryLog()
    const { table } = createTable(log)
    const records = [submit(1, [fakes.group('g', 2)]), sample('g', 0, 0, 'first'), sample('g', 0, 0, 'second'), sample('g', 1, 1), sample('g', 1)]
    records.forEach((record) => log.push(record))
    const group = table.get('felt', 'brim')?.group(1, 'g')
    expect(group?.samples.map((item) => item?.text)).toEqual(['first', ''])
    expect(group?.position).toEqual(5)
  })

  it('keeps the first groups of a step and ignores steps older than those whose digests are kept', () => {
    const log = new MemoryLog()
    const { table } = createTable(log)
    for (let step = 1; step <= 130; step++) log.push(submit(step, [fakes.group('g')]))
    log.push(submit(130, [fakes.group('other')]))
    log.push(submit(2, [fakes.group('late')]))
    const state = table.get('felt', 'brim')
    expect(state?.floorStep).toEqual(2)
    expect(state?.group(130, 'other')).toEqual(undefined)
    expect(state?.group(2, 'late')).toEqual(undefined)
  })

  it('removes a reopened group when a cursor shows that the trainer received it before the expiry', () => {
    const log = new MemoryLog()
    const { table } = createTable(log)
    const early = [submit(1, [fakes.group('g'), fakes.group('h')]), sample('g'), sample('h'), expire('g'), sample('g', 0, 1)]
    early.forEach((record) => log.push(record))
    log.push(ack(3))
    expect([...table.get('felt', 'brim')!.groups.keys()]).toEqual([])
  })

  it('is incomplete after a gap until a snapshot covers it, and then equals a table without a gap', () => {
    const log = new MemoryLog()
    const { table: complete, hub } = createTable(log)
    const renewer = new TrainerSnapshotRenewer(complete, hub, fakes.settings, fakes.logger, fakes.metrics)
    renewer.start()
    log.push(submit(1, [fakes.group('g', 2), fakes.group('h')]))
    log.push(sample('g'))
    const late = createTable(log)
    late.hub.isFollowing = false
    log.push(sample('h'))
    late.hub.gap(4)
    expect(late.table.get('felt', 'brim')).toEqual(undefined)
    mock.timers.tick(100_000)
    log.push(sample('g', 1))
    late.hub.follow()
    expect(log.entries.filter(({ value }) => (value as { type: string }).type === 'carry').length).toEqual(1)
    expect(stateOf(late.table)).toEqual(stateOf(complete))
    expect(late.table.get('felt', 'brim')?.group(1, 'h')?.position).toEqual(3)
    renewer.dispose()
  })

  it('does not use a snapshot from before the gap, which misses lost records', () => {
    const log = new MemoryLog()
    log.push(submit(1, [fakes.group('g')]))
    const late = createTable(log)
    late.hub.isFollowing = false
    log.push(sample('g'))
    late.hub.gap(3)
    log.push(submit(2, [fakes.group('g')]))
    log.push({ type: 'carry', id: 'c', ...base, set: 'c', as_of: 2, version: 0, cursor: 0, floor_step: 0, steps: [], groups: 0 })
    late.hub.follow()
    expect(late.table.get('felt', 'brim')).toEqual(undefined)
    late.table.declareComplete()
    expect([...late.table.get('felt', 'brim')!.groups.keys()]).toEqual(['2/g'])
  })

  it('requests the state from other entries after a gap, and only one of two appends a snapshot', () => {
    const log = new MemoryLog()
    const followers = [createTable(log), createTable(log)]
    const renewers = followers.map(({ hub, table }) => new TrainerSnapshotRenewer(table, hub, fakes.settings, fakes.logger, fakes.metrics))
    log.push(submit(1, [fakes.group('g')]))
    log.push(sample('g'))
    const late = createTable(log)
    late.hub.gap(3)
    renewers.push(new TrainerSnapshotRenewer(late.table, late.hub, fakes.settings, fakes.logger, fakes.metrics))
    renewers.forEach((renewer) => renewer.start())
    for (let elapsed = 0; elapsed < 3000; elapsed += 10) mock.timers.tick(10)
    expect(log.entries.filter(({ value }) => (value as { type: string }).type === 'carry').length).toEqual(1)
    expect(late.table.get('felt', 'brim')?.group(1, 'g')?.position).toEqual(2)
    renewers.forEach((renewer) => renewer.dispose())
  })

  it('builds the same state for every interleaving of two runners, with or without a snapshot', () => {
    const action = fc.oneof(
      fc.record({ kind: fc.constant('sample'), group: fc.constantFrom('g', 'h'), index: fc.nat(1), attempt: fc.nat(2) }),
      fc.record({ kind: fc.constant('expire'), group: fc.constantFrom('g', 'h'), index: fc.nat(1), attempt: fc.nat(2) }),
      fc.record({ kind: fc.constant('place'), group: fc.constantFrom('g', 'h'), index: fc.constant(0), attempt: fc.constant(0) }),
      fc.record({ kind: fc.constantFrom('ack', 'hold'), cursor: fc.nat(20) })
    )
    fc.assert(fc.property(fc.array(action, { maxLength: 30 }), fc.nat(20), (actions, gapAt) => {
      const log = new MemoryLog()
      const { table: complete, hub } = createTable(log)
      const renewer = new TrainerSnapshotRenewer(complete, hub, fakes.settings, fakes.logger, fakes.metrics)
      renewer.start()
      log.push(submit(1, [fakes.group('g', 2), fakes.group('h', 2)]))
      for (const item of actions) {
        if (item.kind === 'ack') log.push(ack((item as { cursor: number }).cursor))
        else if (item.kind === 'hold') log.push({ ...ack((item as { cursor: number }).cursor), type: 'hold' })
        else if (item.kind === 'place') log.push({ type: 'place', id: `r${nextId++}`, ...base, step: 1, group: (item as { group: string }).group })
        else {
          const { group, index, attempt } = item as { group: string, index: number, attempt: number }
          log.push(item.kind === 'sample' ? sample(group, index, attempt, `${nextId}`) : expire(group, index, attempt))
        }
      }
      const late = createTable(log)
      late.hub.gap(Math.min(gapAt + 1, log.entries.length))
      late.hub.isFollowing = false
      mock.timers.tick(100_000)
      late.hub.follow()
      expect(stateOf(late.table)).toEqual(stateOf(complete))
      expect(stateOf(createTable(log).table)).toEqual(stateOf(complete))
      renewer.dispose()
    }), { numRuns: 400 })
  })
})
