import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { HookedStoreClient } from '../store/test/HookedStoreClient.js'
import { createItem } from './test/createItem.js'
import { StoredReaderHarness } from './test/StoredReaderHarness.js'

describe('StoredBatchReader during writes', () => {
  let time: VirtualTime
  let harness: StoredReaderHarness
  let client: HookedStoreClient

  beforeEach(async () => {
    time = new VirtualTime()
    harness = new StoredReaderHarness()
    ;({ client } = harness)
    await harness.leader.open()
  })
  afterEach(() => {
    harness.dispose()
    time.restore()
  })

  // Guards against a read that sees neither the records of the results nor the end that took them over.
  it('lists all results if the leader ends the batch between any two pages, and no body afterwards', async () => {
    for (let page = 0; page < 12; page++) {
      const id = `ended-${page}-`
      const batch = await harness.submitItems(6, id)
      for (let index = 0; index < 5; index++) await harness.finish(batch, index)
      client.pagesAfter.length = 0
      client.beforePage = async index => { if (index === page) await harness.leader.end(batch) }
      expect(await harness.texts(0, id)).toEqual([0, 1, 2, 3, 4].map(index => `text ${index}`))
      client.beforePage = async () => {}
      await harness.leader.end(batch)
      expect([await harness.texts(3, id), await harness.find('i5', id)]).toEqual([['text 3', 'text 4'], 'absent'])
    }
  })

  // Guards against an item that is reported as unknown because the end of its batch removed the items meanwhile.
  it('answers a request for a body during the end of the batch with the body, unavailable or absent', async () => {
    const outcomes: string[] = []
    for (let page = 0; page < 8; page++) {
      const id = `ended-${page}-`
      const items = Array.from({ length: 6 }, (_, index) => ({ ...createItem(`i${index}`, 'g'), bodyBase64: 'x'.repeat(150_000) }))
      const batch = await harness.submit(items, id)
      client.pagesAfter.length = 0
      client.beforePage = async index => { if (index === page) await harness.leader.end(batch) }
      outcomes.push((await harness.find('i5', id)).slice(0, 11))
    }
    expect([...new Set(outcomes)].sort()).toEqual(['absent', 'body xxxxxx', 'unavailable'])
  })

  // Guards against a gap or a changed position in a list that is read while results are added.
  it('lists what was durable before the read if results are added between any two pages', async () => {
    for (let page = 0; page < 12; page++) {
      const id = `added-${page}-`
      const batch = await harness.submitItems(9, id)
      for (let index = 0; index < 4; index++) await harness.finish(batch, index)
      client.pagesAfter.length = 0
      client.beforePage = async index => {
        if (index !== page) return
        for (let added = 4; added < 9; added++) await harness.finish(batch, added)
      }
      const listed = await harness.texts(0, id)
      expect(Array.isArray(listed) && listed.length >= 4).toEqual(true)
      expect(listed).toEqual(Array.from({ length: listed.length }, (_, index) => `text ${index}`))
    }
  })

  // Guards against an empty list or an empty text for a batch that is removed while it is read.
  it('lists all results or answers unavailable if the batch is removed between any two pages', async () => {
    for (const isEnded of [false, true]) {
      for (let page = 0; page < 14; page++) {
        const batch = await harness.submitItems(6)
        // The records of other batches put the spec and the end on different pages.
        for (const id of ['batch-10', 'batch-11', 'batch-12']) await harness.submitItems(1, id)
        for (let index = 0; index < 5; index++) await harness.finish(batch, index)
        if (isEnded) await harness.leader.end(batch)
        client.pagesAfter.length = 0
        client.beforePage = async index => { if (index === page) await harness.removeAll() }
        const listed = await harness.texts()
        if (listed !== 'unavailable') expect(listed).toEqual([0, 1, 2, 3, 4].map(index => `text ${index}`))
        client.beforePage = async () => {}
        await harness.removeAll()
        expect(await harness.texts()).toEqual('unavailable')
      }
    }
  })
})
