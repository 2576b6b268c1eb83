import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { BatchService } from './BatchService.js'
import { StoredBatchReader } from './StoredBatchReader.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'
import { textArbitrary } from '../kernel/test/textArbitrary.js'

const { logger, metrics } = testServices()
const ID = 'batch-1'
const NUM_RUNS = 40
const PAUSE_MS = 200
const DONE_MS = 2000
/** Longer than the texts of an ended batch stay in memory. */
const EVICTION_MS = 30_000
const STEP_MS = 50

/** Data of each event of an item, and the event after which its first run breaks, if it has more. */
const outputsArbitrary = fc.array(fc.record({
  events: fc.array(textArbitrary, { minLength: 1, maxLength: 5 }),
  breakAfterEvent: fc.option(fc.integer({ min: 1, max: 4 }), { nil: undefined })
}), { minLength: 1, maxLength: 3 })

// Guards against a result that changes between reads, because a place that stores or decodes its text alters it.
describe('the text of a result is the output of the engine, the same for every read', () => {
  let time: VirtualTime
  let harness: BatchHarness

  beforeEach(() => { time = new VirtualTime() })
  afterEach(() => time.restore())

  const submit = async (service: BatchService, count: number): Promise<void> => {
    const items = Array.from({ length: count }, (_, index) => createItem(`i${index}`, 'g'))
    const submitted = service.submit(createSpec({ id: ID, itemCount: count }), items)
    await time.advance(PAUSE_MS)
    expect(await submitted).toEqual('accepted')
  }
  const textsAtLeader = async (service: BatchService): Promise<unknown> => {
    const results = await harness.resultsOf(service)
    return typeof results === 'string' ? results : Object.fromEntries(results.map(({ itemId, text }) => [itemId, text]))
  }
  const textsInStore = async (): Promise<unknown> => {
    const reading = new StoredBatchReader(harness.store, logger, metrics).read(ID, 0, undefined, performance.now() + DONE_MS)
    await time.advance(PAUSE_MS)
    const outcome = await reading
    return outcome.kind === 'results' ? Object.fromEntries(outcome.results.map(({ itemId, text }) => [itemId, text])) : outcome.kind
  }

  it('from memory, at an entry that does not lead, after a new leader, an end and an eviction, and in resumed runs', async () => {
    await fc.assert(fc.asyncProperty(outputsArbitrary, fc.boolean(), async (outputs, changesLeader) => {
      harness = new BatchHarness(time)
      const expected: Record<string, string> = {}
      for (const [index, { events, breakAfterEvent }] of outputs.entries()) {
        const itemId = `i${index}`
        harness.engines.eventCounts[itemId] = events.length
        if (breakAfterEvent !== undefined && breakAfterEvent < events.length) harness.engines.breakAfterEvent[itemId] = breakAfterEvent
        expected[itemId] = events.join('\n')
      }
      harness.engines.eventData = (itemId, eventId) => outputs[Number(itemId.slice(1))]?.events[eventId - 1] ?? ''
      let { service } = await harness.lead(1)
      await submit(service, outputs.length)
      // The next leader continues from the stored progress, or from the start.
      if (changesLeader) service = (await harness.lead(2)).service
      await time.advance(DONE_MS, STEP_MS)
      expect(await textsAtLeader(service)).toEqual(expected)
      expect(await textsInStore()).toEqual(expected)
      service = (await harness.lead(3)).service
      expect(await textsAtLeader(service)).toEqual(expected)
      const ending = service.end(ID)
      await time.advance(PAUSE_MS)
      expect(await ending).toEqual('accepted')
      await time.advance(EVICTION_MS, STEP_MS)
      expect(await textsAtLeader(service)).toEqual(expected)
      expect(await textsInStore()).toEqual(expected)
      harness.dispose()
    }), { numRuns: NUM_RUNS })
  })
})
