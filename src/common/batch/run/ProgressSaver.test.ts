import { afterEach, beforeEach, describe, it } from 'node:test'
import { ok, type Result } from 'neverthrow'
import { expect } from 'earl'
import { testServices } from '../../log/test/testServices.js'
import { VirtualTime } from '../../log/test/VirtualTime.test.js'
import type { StoreError } from '../../store/StoreError.js'
import { Batch } from '../Batch.js'
import type { IBatchStore } from '../IBatchStore.js'
import { createItem } from '../test/createItem.js'
import { createSpec } from '../test/createSpec.js'
import { ProgressSaver } from './ProgressSaver.js'

const INTERVAL_MS = 300

describe('ProgressSaver', () => {
  let time: VirtualTime
  let saves: number
  let failingForMs: number
  let saveProgress: () => Promise<Result<void, StoreError>>
  let saver: ProgressSaver
  const batch = new Batch(createSpec(), [createItem('i', 'g')])
  const [state] = batch.items

  /** Saves if it is due, after one more event of the only item. */
  const saveNext = async (): Promise<void> => {
    if (state === undefined) throw new Error('item is missing')
    state.progress = { ...state.progress, lastEventId: state.progress.lastEventId + 1 }
    saver.saveIfDue([], [{ batch, state }])
    await time.advance(1)
  }

  beforeEach(() => {
    time = new VirtualTime()
    saves = 0
    failingForMs = 0
    saveProgress = async () => ok(undefined)
    const store = {
      failingForMs: () => failingForMs,
      saveProgress: async () => {
        saves += 1
        return await saveProgress()
      }
    } as unknown as IBatchStore
    saver = new ProgressSaver(store, testServices().logger)
  })
  afterEach(() => time.restore())

  it('saves once per interval, and not while the store is failing', async () => {
    await saveNext()
    expect(saves).toEqual(0)
    await time.advance(INTERVAL_MS)
    await saveNext()
    await saveNext()
    expect(saves).toEqual(1)
    await time.advance(INTERVAL_MS)
    failingForMs = 1
    await saveNext()
    expect(saves).toEqual(1)
  })

  it('saves again after a save that threw', async () => {
    saveProgress = async () => { throw new Error('fault') }
    await time.advance(INTERVAL_MS)
    await saveNext()
    saveProgress = async () => ok(undefined)
    await time.advance(INTERVAL_MS)
    await saveNext()
    expect(saves).toEqual(2)
  })

  it('starts no save while one is in flight', async () => {
    saveProgress = async () => await new Promise(() => undefined)
    await time.advance(INTERVAL_MS)
    await saveNext()
    await time.advance(INTERVAL_MS)
    await saveNext()
    expect(saves).toEqual(1)
  })
})
