import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { waitUntil } from '../../../tools/harness/waitUntil.js'
import { ChunkPacer } from './ChunkPacer.js'

const MAX_WAITING = 25

describe('ChunkPacer', () => {
  const pacer = new ChunkPacer()
  afterEach(() => pacer.dispose())

  // Guards against bodies that wait longer than their clients do.
  it('gives turns in order, and refuses a body when too many wait', async () => {
    const turns: number[] = []
    const isAccepted = Array.from({ length: MAX_WAITING + 1 }, (_, index) => pacer.wait(() => turns.push(index)))
    expect(isAccepted).toEqual([...Array<boolean>(MAX_WAITING).fill(true), false])
    await waitUntil('some had their turn', () => turns.length >= 3)
    expect(turns.slice(0, 3)).toEqual([0, 1, 2])
    expect(pacer.wait(() => {})).toEqual(true)
  })
})
