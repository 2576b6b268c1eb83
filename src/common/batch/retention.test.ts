import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { LimitedStoreClient } from '../store/test/LimitedStoreClient.js'
import type { BatchService } from './BatchService.js'
import { BatchHarness } from './test/BatchHarness.js'
import { createItem } from './test/createItem.js'
import { createSpec } from './test/createSpec.js'

const TOPIC = 'keyed.batches'
const HOUR_MS = 3_600_000
const STEP_MS = 20
/** Two intervals of the removal. */
const REMOVAL_MS = 12_000
/** Longer than the items run. */
const RUN_MS = 18_000
/** Retention of the harness, its margin and one interval of the removal. */
const RETENTION_END_MS = 120_000 + 30_000 + 6000
/** More than the link carries in a test. */
const BYTES_PER_MS = 1_000_000

describe('retention of batches', () => {
  let time: VirtualTime
  let harness: BatchHarness
  let client: LimitedStoreClient

  beforeEach(() => {
    time = new VirtualTime()
    harness = new BatchHarness(time, store => {
      client = new LimitedStoreClient(store, BYTES_PER_MS)
      return client
    })
    // Item `b` runs for 15 s.
    harness.engines.eventCounts = { a: 5, b: 300 }
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  const items = [createItem('a', 'g'), createItem('b', 'g')]
  const submit = async (service: BatchService, submittedAtMs = Date.now()): Promise<void> => {
    const submitted = service.submit(createSpec({ itemCount: 2, submittedAtMs }), items)
    await time.advance(1000, STEP_MS)
    expect(await submitted).toEqual('accepted')
  }
  const statesOf = async (service: BatchService): Promise<string[] | string> => {
    const results = await harness.resultsOf(service)
    return typeof results === 'string' ? results : results.map(({ itemId, state, text }) => `${itemId} ${state} ${text === harness.engines.textOf(itemId)}`)
  }
  const isStored = (): boolean => harness.store.keys(TOPIC).some(key => key.endsWith('/batch-1') || key.includes('/batch-1/'))

  const skews = {
    'the wall clock is stepped ahead': async () => {
      const { service } = await harness.lead(1)
      await submit(service)
      time.stepWallClock(HOUR_MS)
      return service
    },
    'the wall clock of the next leader is ahead': async () => {
      const first = await harness.lead(1)
      await submit(first.service)
      first.service.dispose()
      time.stepWallClock(HOUR_MS)
      return (await harness.lead(2)).service
    },
    'the wall clock of the entry that accepted it was behind': async () => {
      const { service } = await harness.lead(1)
      await submit(service, Date.now() - HOUR_MS)
      return service
    }
  }
  for (const [name, start] of Object.entries(skews)) {
    // Guards against accepted batches that are deleted from the store.
    it(`keeps a batch when ${name}`, async () => {
      const service = await start()
      await time.advance(REMOVAL_MS, STEP_MS)
      expect(await statesOf(service)).not.toEqual('absent')
      expect(harness.store.keys(TOPIC)).toInclude('batch/batch-1')
    })

    // Guards against items that are aborted before the retention of their route has passed.
    it(`runs the items of a batch when ${name}`, async () => {
      const service = await start()
      await time.advance(RUN_MS, STEP_MS)
      expect(await statesOf(service)).toEqual(['a completed true', 'b completed true'])
    })
  }

  it('aborts items after the retention of their route, and removes the batch after that of results', async () => {
    harness.engines.eventCounts = { a: 5, b: 10_000 }
    const { service } = await harness.lead(1)
    await submit(service)
    await time.advance(38_000, STEP_MS)
    expect(await statesOf(service)).toEqual(['a completed true'])
    await time.advance(2000, STEP_MS)
    expect(await statesOf(service)).toEqual(['a completed true', 'b aborted false'])
    await time.advance(RETENTION_END_MS - 41_000, STEP_MS)
    expect(await statesOf(service)).toEqual('absent')
    expect(isStored()).toEqual(false)
  })

  it('removes no batch while the restore is incomplete, however long that takes', async () => {
    const first = await harness.lead(1)
    await submit(first.service)
    first.service.dispose()
    const keys = harness.store.keys(TOPIC)
    client.isSilent = true
    const { service } = await harness.lead(2)
    await time.advance(2 * RETENTION_END_MS, 50)
    expect(harness.store.keys(TOPIC)).toEqual(keys)
    client.isSilent = false
    await time.advance(RUN_MS, STEP_MS)
    expect(await statesOf(service)).toEqual(['a completed true', 'b completed true'])
  })

  // Guards against texts that stay in the store for ever, because their keys could not be read when the batch was removed.
  it('removes the texts of an earlier leader also when the store does not respond at the end of the retention', async () => {
    const first = await harness.lead(1)
    await submit(first.service)
    await time.advance(RUN_MS, STEP_MS)
    first.service.dispose()
    // The last page of a restore contains some texts, so others have to fill it.
    for (let position = 0; position < 6; position++) harness.store.writeBytes(TOPIC, `text/batch-0/${position}/000000`, new Uint8Array(200_000))
    await harness.lead(2)
    client.isSilent = true
    await time.advance(RETENTION_END_MS + REMOVAL_MS, 50)
    client.isSilent = false
    await time.advance(REMOVAL_MS, STEP_MS)
    expect(isStored()).toEqual(false)
  })
})
