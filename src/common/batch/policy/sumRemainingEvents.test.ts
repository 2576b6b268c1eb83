import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Batch } from '../Batch.js'
import { createItem } from '../test/createItem.js'
import { createSpec } from '../test/createSpec.js'
import { LengthEstimator } from './LengthEstimator.js'
import { sumRemainingEvents } from './sumRemainingEvents.js'

describe('sumRemainingEvents', () => {
  // A step of one model is late. Guards against counting work that is done, has ended or belongs to another model.
  it('counts unfinished items of open batches of the model', () => {
    const batch = new Batch(createSpec({ model: 'm', itemCount: 3 }), [createItem('a', 'g', 600), createItem('b', 'g', 1200), createItem('c', 'g', 6000)])
    const [, running, finished] = batch.items
    if (running !== undefined) running.progress.events.push('', '', '', '', '')
    if (finished !== undefined) finished.status = 'finished'
    const ended = new Batch(createSpec({ model: 'm' }), [createItem('d', 'g', 600)])
    ended.end(['g'])
    const other = new Batch(createSpec({ model: 'n' }), [createItem('e', 'g', 600)])
    expect(sumRemainingEvents([batch, ended, other], 'm', new LengthEstimator())).toEqual(10 + 15)
  })
})
