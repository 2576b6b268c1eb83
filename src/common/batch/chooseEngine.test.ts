import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseEngine } from './chooseEngine.js'
import type { EngineView } from './EngineView.js'
import { shouldMove } from './shouldMove.js'

const engine = (id: string, overrides: Partial<EngineView> = {}): EngineView =>
  ({ id, version: 2, freeSlots: 4, running: 0, paceMs: 30, isAvoided: false, isLoading: false, ...overrides })
const wish = (overrides: Partial<Parameters<typeof chooseEngine>[1]> = {}): Parameters<typeof chooseEngine>[1] =>
  ({ minVersion: 1, avoided: new Set(), affine: new Set(), ...overrides })

describe('chooseEngine', () => {
  // Load: engines of one service that differ in speed by a factor of two and more.
  it('takes the fastest engine with a free slot', () => {
    expect(chooseEngine([engine('slow', { paceMs: 70 }), engine('fast'), engine('full', { paceMs: 20, freeSlots: 0 })], wish())?.id).toEqual('fast')
  })

  it('takes none that has too old a version, another one than the text began with, or loads', () => {
    const engines = [engine('old', { version: 1 }), engine('loading', { isLoading: true }), engine('new', { version: 3, paceMs: 90 })]
    expect(chooseEngine(engines, wish({ minVersion: 2 }))?.id).toEqual('new')
    expect(chooseEngine(engines, wish({ minVersion: 2, onlyVersion: 2 }))).toEqual(undefined)
  })

  it('prefers the engine that keeps the prompt among engines of about the same speed only', () => {
    const engines = [engine('a'), engine('b', { paceMs: 31 }), engine('c', { paceMs: 60 })]
    expect(chooseEngine(engines, wish({ affine: new Set(['b']) }))?.id).toEqual('b')
    expect(chooseEngine(engines, wish({ affine: new Set(['c']) }))?.id).toEqual('a')
  })

  it('returns to an engine that broke the item off only when there is no other, and never to one that fails', () => {
    const engines = [engine('broke', { paceMs: 10 }), engine('failing', { paceMs: 5, isAvoided: true })]
    expect(chooseEngine([...engines, engine('other')], wish({ avoided: new Set(['broke']) }))?.id).toEqual('other')
    expect(chooseEngine(engines, wish({ avoided: new Set(['broke']) }))?.id).toEqual('broke')
  })
})

describe('shouldMove', () => {
  // Load: an engine turns four times slower while streams run on it.
  it('moves a long rest off an engine that has become slow', () => {
    expect(shouldMove({ paceMs: 120, targetPaceMs: 30, remainingEvents: 40 })).toEqual(true)
  })

  it('stays when little is left or the difference is that of neighbours of a moment', () => {
    expect(shouldMove({ paceMs: 120, targetPaceMs: 30, remainingEvents: 5 })).toEqual(false)
    expect(shouldMove({ paceMs: 42, targetPaceMs: 30, remainingEvents: 180 })).toEqual(false)
  })
})
