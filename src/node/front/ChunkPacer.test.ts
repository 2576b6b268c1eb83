import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { waitUntil } from '../../../tools/harness/waitUntil.js'
import { ChunkPacer } from './ChunkPacer.js'

const MAX_WAITING = 25
const LONG_TURN_MS = 150

describe('ChunkPacer', () => {
  let pacer: ChunkPacer

  beforeEach(() => { pacer = new ChunkPacer() })
  afterEach(() => pacer.dispose())

  // Guards against bodies that wait longer than their clients do.
  it('gives turns in order, and rejects a body when too many wait', async () => {
    const turns: number[] = []
    const isAccepted = Array.from({ length: MAX_WAITING + 1 }, (_, index) => pacer.wait(() => turns.push(index)) !== undefined)
    expect(isAccepted).toEqual([...Array<boolean>(MAX_WAITING).fill(true), false])
    await waitUntil('some had their turn', () => turns.length >= 3)
    expect(turns.slice(0, 3)).toEqual([0, 1, 2])
    expect(pacer.wait(() => {}) !== undefined).toEqual(true)
  })

  // Guards against requests that have ended and keep their places, or use turns of others.
  it('accepts a body at once when those that waited were disposed, and gives these no turn', async () => {
    const turns: string[] = []
    const places = Array.from({ length: MAX_WAITING }, () => pacer.wait(() => turns.push('ended')))
    for (const place of places) place?.dispose()
    expect(pacer.wait(() => turns.push('next')) !== undefined).toEqual(true)
    await waitUntil('a body had its turn', () => turns.length > 0)
    expect(turns).toEqual(['next'])
  })

  // Guards against turns that take all of the processor on a slow host, where each takes longer than the interval.
  it('leaves half of the time to other work when turns are long, and still gives some', async () => {
    let turns = 0
    const spin = (): void => {
      turns += 1
      for (const untilMs = performance.now() + LONG_TURN_MS; performance.now() < untilMs;);
      pacer.wait(spin)
    }
    const startedAtMs = performance.now()
    pacer.wait(spin)
    await waitUntil('some had their turn', () => turns >= 4)
    expect(performance.now() - startedAtMs).toBeGreaterThan(4 * LONG_TURN_MS + 3 * LONG_TURN_MS / 2)
  })
})
