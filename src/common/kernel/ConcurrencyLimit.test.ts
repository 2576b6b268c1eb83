import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'

describe('ConcurrencyLimit', () => {
  let time: VirtualTime

  beforeEach(() => { time = new VirtualTime() })
  afterEach(() => time.restore())

  // Guards against more holders of memory than are allowed, and against a queue without bound.
  it('lets callers run in order of arrival, and refuses those that do not fit into the queue', async () => {
    const limit = new ConcurrencyLimit(1, 2)
    const log: string[] = []
    const start = (name: string): void => {
      limit.acquire(performance.now() + 1000).then(outcome => log.push(`${name} ${outcome}`), () => undefined)
    }
    for (const name of ['a', 'b', 'c', 'd']) start(name)
    await time.advance(5)
    expect(log).toEqual(['a acquired', 'd queue_full'])
    limit.release()
    await time.advance(5)
    limit.release()
    await time.advance(5)
    expect(log.slice(2)).toEqual(['b acquired', 'c acquired'])
  })

  // Guards against a slot that is given to a caller that has left, and so is never free again.
  it('gives no slot to a caller whose deadline has passed', async () => {
    const limit = new ConcurrencyLimit(1, 2)
    expect(await limit.acquire(performance.now() + 10)).toEqual('acquired')
    const late = limit.acquire(performance.now() + 10)
    await time.advance(20)
    expect(await late).toEqual('deadline_passed')
    limit.release()
    expect(await limit.acquire(performance.now() + 10)).toEqual('acquired')
    expect(await limit.acquire(performance.now())).toEqual('deadline_passed')
  })
})
