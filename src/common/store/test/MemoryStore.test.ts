import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { AppendedRange } from '../AppendedRange.js'
import type { StoreError } from '../StoreError.js'
import { MemoryStore } from './MemoryStore.js'

/** The rules that the platform's store was measured to follow; the tests of the journal rely on them. */
describe('MemoryStore with a writer', () => {
  const append = async (store: MemoryStore, epoch: number, sequence: number, keys: string[], bytes = 1): Promise<AppendedRange | StoreError> => {
    const records = keys.map(key => ({ key, value: new Uint8Array(bytes) }))
    return (await store.append({ topic: 'topic', records, writer: { name: 'writer', epoch, sequence }, timeoutMs: 0 })).match<AppendedRange | StoreError>(range => range, error => error)
  }
  const kindOf = (response: AppendedRange | StoreError): string => 'kind' in response ? response.kind : 'ok'

  it('uses no sequence number for an append without records, and keeps the count, also with an old number', async () => {
    const store = new MemoryStore()
    await append(store, 1, 0, [])
    await append(store, 1, 0, ['a'])
    await append(store, 1, 1, ['b'])
    expect(await append(store, 1, 0, [])).toEqual({ firstOffset: 2, endOffset: 2 })
    expect(await append(store, 1, 2, ['c'])).toEqual({ firstOffset: 2, endOffset: 3 })
  })

  it('accepts any number first in an epoch, and no gap after it', async () => {
    const store = new MemoryStore()
    expect(kindOf(await append(store, 1, 7, ['a']))).toEqual('ok')
    expect(await append(store, 1, 9, ['b'])).toLooseEqual({ kind: 'out_of_sequence', message: 'sequence', mayTakeEffect: false, expectedSequence: 8 })
  })

  it('gives the first response again to one of the last five numbers of the epoch, whatever its records are', async () => {
    const store = new MemoryStore()
    for (let sequence = 0; sequence < 6; sequence++) await append(store, 1, sequence, ['a'])
    expect(await append(store, 1, 1, ['b', 'c'])).toEqual({ firstOffset: 1, endOffset: 2 })
    expect(kindOf(await append(store, 1, 0, ['a']))).toEqual('out_of_sequence')
    expect(store.keys('topic')).toEqual(['a'])
  })

  it('takes no number of an earlier epoch for a repetition, and fences lower epochs', async () => {
    const store = new MemoryStore()
    await append(store, 1, 3, ['a'])
    expect(await append(store, 2, 3, ['b'])).toEqual({ firstOffset: 1, endOffset: 2 })
    expect(kindOf(await append(store, 1, 4, ['c']))).toEqual('fenced')
    expect(kindOf(await append(store, 1, 4, []))).toEqual('fenced')
  })

  it('rejects a record and a call that are too large', async () => {
    const store = new MemoryStore()
    expect(kindOf(await append(store, 1, 0, ['a'], 300_000))).toEqual('rejected')
    expect(kindOf(await append(store, 1, 0, Array.from({ length: 11 }, (_, index) => `k${index}`), 200_000))).toEqual('rejected')
    expect(store.keys('topic')).toEqual([])
  })
})
