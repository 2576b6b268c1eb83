import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseEngine } from './chooseEngine.js'
import type { EngineView } from '../run/EngineView.js'
import { shouldMove } from './shouldMove.js'

const engine = (id: string, overrides: Partial<EngineView> = {}): EngineView =>
  ({ id, version: 2, freeSlots: 4, running: 0, eventIntervalMs: 30, kvCapacityTokens: 50_000, kvFreeTokens: 50_000, isExcluded: false, isLoading: false, ...overrides })
const wish = (overrides: Partial<Parameters<typeof chooseEngine>[1]> = {}): Parameters<typeof chooseEngine>[1] =>
  ({ minVersion: 1, kvTokens: 1000, deprioritised: new Set(), withCachedPrefix: new Set(), ...overrides })

describe('chooseEngine', () => {
  // Load: engines of one service that differ in speed by a factor of two and more.
  it('takes the fastest engine with a free slot', () => {
    expect(chooseEngine([engine('slow', { eventIntervalMs: 70 }), engine('fast'), engine('full', { eventIntervalMs: 20, freeSlots: 0 })], wish())?.id).toEqual('fast')
  })

  it('takes none that has too old a version, another one than the text began with, or loads', () => {
    const engines = [engine('old', { version: 1 }), engine('loading', { isLoading: true }), engine('new', { version: 3, eventIntervalMs: 90 })]
    expect(chooseEngine(engines, wish({ minVersion: 2 }))?.id).toEqual('new')
    expect(chooseEngine(engines, wish({ minVersion: 2, requiredVersion: 2 }))).toEqual(undefined)
  })

  it('prefers the engine that keeps the prompt among engines of about the same speed only', () => {
    const engines = [engine('a'), engine('b', { eventIntervalMs: 31 }), engine('c', { eventIntervalMs: 60 })]
    expect(chooseEngine(engines, wish({ withCachedPrefix: new Set(['b']) }))?.id).toEqual('b')
    expect(chooseEngine(engines, wish({ withCachedPrefix: new Set(['c']) }))?.id).toEqual('a')
  })

  // Load: a tenth of the items needs five times the memory of the others, and the fastest engines get them first.
  it('spreads long items by memory, and still prefers a fast engine to one of half its speed', () => {
    const engines = [engine('fast', { running: 4, kvFreeTokens: 0 }), engine('other', { eventIntervalMs: 42, running: 4 }), engine('slow', { eventIntervalMs: 70 })]
    expect(chooseEngine(engines, wish({ kvTokens: 12_000 }))?.id).toEqual('other')
    expect(chooseEngine(engines, wish({ kvTokens: 2000 }))?.id).toEqual('fast')
    const full = engines.slice(0, 2).map(view => ({ ...view, kvFreeTokens: -10_000 }))
    expect(chooseEngine([...full, engine('slow', { eventIntervalMs: 70 })], wish({ kvTokens: 12_000 }))?.id).toEqual('fast')
  })

  it('returns to an engine that broke the item off only when there is no other, and never to one that fails', () => {
    const engines = [engine('broke', { eventIntervalMs: 10 }), engine('failing', { eventIntervalMs: 5, isExcluded: true })]
    expect(chooseEngine([...engines, engine('other')], wish({ deprioritised: new Set(['broke']) }))?.id).toEqual('other')
    expect(chooseEngine(engines, wish({ deprioritised: new Set(['broke']) }))?.id).toEqual('broke')
  })
})

describe('shouldMove', () => {
  // Load: an engine turns four times slower while streams run on it.
  it('moves a long rest off an engine that has become slow', () => {
    expect(shouldMove({ eventIntervalMs: 120, targetEventIntervalMs: 30, remainingEvents: 40, expectedPauseMs: 0 })).toEqual(true)
  })

  it('stays when little is left or the difference is that of neighbours of a moment', () => {
    expect(shouldMove({ eventIntervalMs: 120, targetEventIntervalMs: 30, remainingEvents: 3, expectedPauseMs: 0 })).toEqual(false)
    expect(shouldMove({ eventIntervalMs: 42, targetEventIntervalMs: 30, remainingEvents: 180, expectedPauseMs: 0 })).toEqual(false)
  })

  // Load: an engine loads a version, for which its streams stand still for most of a second.
  it('moves a stream off an engine that is about to pause, unless the other is so slow that it would lose more', () => {
    expect(shouldMove({ eventIntervalMs: 30, targetEventIntervalMs: 32, remainingEvents: 60, expectedPauseMs: 900 })).toEqual(true)
    expect(shouldMove({ eventIntervalMs: 30, targetEventIntervalMs: 70, remainingEvents: 60, expectedPauseMs: 900 })).toEqual(false)
  })
})
