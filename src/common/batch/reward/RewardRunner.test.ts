import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../../log/test/VirtualTime.test.js'
import type { BatchService } from '../BatchService.js'
import type { BatchItem } from '../record/BatchItem.js'
import type { HandoffProgress } from '../record/HandoffProgress.js'
import { BatchHarness } from '../test/BatchHarness.js'
import { createItem } from '../test/createItem.js'
import { createSpec } from '../test/createSpec.js'
import type { RewardOutcome } from './RewardOutcome.js'

const NO_RESPONSE: RewardOutcome = { kind: 'no_response', reason: 'reset' }

function createScoredItem (id: string, group = 'g'): BatchItem {
  return { ...createItem(id, group), rewardCall: { id: `reward-${id}`, host: 'host.example', path: '/rewards/x', bodyBase64: '' } }
}

describe('RewardRunner, in a batch service', () => {
  let time: VirtualTime
  let harness: BatchHarness

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time)
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  async function submit (service: BatchService, items: BatchItem[], runMs: number, id = 'batch-1'): Promise<void> {
    for (const item of items) harness.engines.eventCounts[item.id] ??= 2
    const submitted = service.submit(createSpec({ id, itemCount: items.length }), items)
    await time.advance(runMs)
    expect(await submitted).toEqual('accepted')
  }
  const leadWith = async (items: BatchItem[], runMs: number): Promise<BatchService> => {
    const { service } = await harness.lead(1)
    await submit(service, items, runMs)
    return service
  }
  /** Results as `ITEM STATE SCORE`, in order of position. */
  const scoresOf = async (service: BatchService): Promise<string[]> => {
    const results = await harness.resultsOf(service)
    return typeof results === 'string' ? [results] : results.map(({ itemId, state, score }) => `${itemId} ${state} ${score ?? 'none'}`)
  }

  it('makes reward calls when the text is complete, and completes the result', async () => {
    harness.engines.eventCounts = { a: 20 }
    const service = await leadWith([createScoredItem('a'), createItem('plain', 'g')], 900)
    expect(harness.rewards.sent).toEqual([])
    expect(await scoresOf(service)).toEqual(['plain completed none'])
    await time.advance(500)
    expect(await scoresOf(service)).toEqual(['plain completed none', 'a completed score of reward-a, try 1'])
    expect((await harness.resultsOf(service, 1) as Array<{ text: string }>)[0]?.text).toEqual(harness.engines.textOf('a'))
  })

  it('retries after a lost response, and aborts the item after as many failures as its route allows', async () => {
    harness.rewards.outcomes['reward-a'] = [NO_RESPONSE, { kind: 'not_run', reason: 'full', retryAfterMs: 300 }]
    harness.rewards.outcomes['reward-b'] = [{ kind: 'failed', failures: 3 }, { kind: 'failed', failures: 1 }]
    const service = await leadWith([createScoredItem('a'), createScoredItem('b')], 1500)
    expect((await scoresOf(service)).sort()).toEqual(['a completed score of reward-a, try 3', 'b aborted none'])
    expect(harness.rewards.sent.filter(id => id === 'reward-b').length).toEqual(2)
    expect(harness.engines.runs.length).toEqual(2)
  })

  it('retries a call whose client throws, and frees its slot', async () => {
    for (const id of ['a', 'b', 'c']) harness.rewards.throwing.add(`reward-${id}`)
    const service = await leadWith(['a', 'b', 'c'].map(id => createScoredItem(id)), 1000)
    expect((await scoresOf(service)).sort()).toEqual(['a', 'b', 'c'].map(id => `${id} completed score of reward-${id}, try 2`))
  })

  // The reward service is away for long, or its route is removed for a while.
  it('waits for a missing route without aborting the item, and ends with the batch', async () => {
    harness.rewards.hasRoute = false
    const service = await leadWith([createScoredItem('a')], 6000)
    expect(await scoresOf(service)).toEqual([])
    harness.rewards.hasRoute = true
    await time.advance(2200)
    expect(await scoresOf(service)).toEqual(['a completed score of reward-a, try 1'])
    harness.rewards.hasRoute = false
    await submit(service, [createScoredItem('b')], 500, 'batch-2')
    const ended = service.end('batch-2')
    await time.advance(20)
    expect(await ended).toEqual('accepted')
    harness.rewards.hasRoute = true
    await time.advance(3000)
    expect(harness.rewards.sent).toEqual(['reward-a'])
  })

  it('is cancelled by the end of the batch, and the text is used when a later batch resubmits the item', async () => {
    harness.rewards.outcomes['reward-a'] = [NO_RESPONSE, NO_RESPONSE, NO_RESPONSE]
    const service = await leadWith([createScoredItem('a'), createScoredItem('b')], 320)
    const ended = service.end('batch-1')
    await time.advance(20)
    expect(await ended).toEqual('accepted')
    const tries = harness.rewards.sent.length
    await time.advance(3000)
    expect(harness.rewards.sent.length).toEqual(tries)
    const submitted = service.submit(createSpec({ id: 'batch-2', step: 1, itemCount: 1 }), [createScoredItem('a')])
    await time.advance(2000)
    expect(await submitted).toEqual('accepted')
    const reading = service.read('batch-2', 0, 0)
    await time.advance(20)
    const read = await reading
    expect(read.kind === 'results' && read.results[0]?.score !== undefined).toEqual(true)
    expect(harness.engines.runs.filter(run => run.startsWith('a')).length).toEqual(1)
  })

  // The leader fails between the text and its reward. The text is not generated again, and an earlier score is not kept.
  it('calls again at the next leader, which does not run the item again', async () => {
    harness.rewards.outcomes['reward-a'] = Array<RewardOutcome>(6).fill(NO_RESPONSE)
    const first = await leadWith([createScoredItem('a')], 900)
    first.dispose()
    const tries = harness.rewards.sent.length
    harness.rewards.outcomes['reward-a'] = []
    const { service } = await harness.lead(2)
    await time.advance(300)
    expect(await scoresOf(service)).toEqual([`a completed score of reward-a, try ${tries + 1}`])
    expect(harness.engines.runs.length).toEqual(1)
  })

  it('calls at the leader to which a text was handed off, and stops at the former one', async () => {
    harness.rewards.outcomes['reward-a'] = Array<RewardOutcome>(6).fill(NO_RESPONSE)
    const { service: first, leadership } = await harness.lead(1)
    const handoffs: HandoffProgress[] = []
    first.onHandoffProgress(progress => handoffs.push(progress))
    await submit(first, [createScoredItem('a')], 160)
    leadership.lose()
    expect(handoffs[0]?.map(({ itemId, isComplete }) => `${itemId} ${isComplete}`)).toEqual(['a true'])
    const tries = harness.rewards.sent.length
    await time.advance(1000)
    expect(harness.rewards.sent.length).toEqual(tries)
    harness.rewards.outcomes['reward-a'] = []
    const second = await harness.lead(2)
    expect(second.service.acceptHandoff(handoffs[0] ?? [])).toEqual(true)
    await time.advance(300)
    expect((await scoresOf(second.service))[0]).toEqual(`a completed score of reward-a, try ${tries + 1}`)
  })

  it('cancels its calls at a planned stop, and the texts are saved', async () => {
    harness.rewards.outcomes['reward-a'] = Array<RewardOutcome>(6).fill(NO_RESPONSE)
    const service = await leadWith([createScoredItem('a')], 160)
    const stopped = service.handOff()
    await time.advance(100)
    await stopped
    const tries = harness.rewards.sent.length
    await time.advance(1000)
    expect(harness.rewards.sent.length).toEqual(tries)
    const { service: next } = await harness.lead(2)
    await time.advance(100)
    expect(harness.engines.runs.length).toEqual(1)
    expect(harness.rewards.sent.length).toEqual(tries + 1)
    expect(await scoresOf(next)).toEqual([])
  })

  // The runs of a step end together: their reward calls must not fill the slots that callers use.
  it('uses at most half of the slots of the reward service, and completes the groups one after the other', async () => {
    const groups = ['g1', 'g2', 'g3', 'g4']
    const items = groups.flatMap(group => Array.from({ length: 2 }, (_, index) => createScoredItem(`${group}-${index}`, group)))
    const service = await leadWith(items, 2000)
    expect(harness.rewards.maxOpen).toEqual(2)
    const results = await harness.resultsOf(service) as Array<{ itemId: string }>
    const order = results.map(({ itemId }) => itemId.split('-')[0])
    expect(order.filter((group, index) => group !== order[index - 1]).length).toEqual(groups.length)
  })
})
