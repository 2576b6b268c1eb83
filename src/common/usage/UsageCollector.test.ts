import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { UsageCollector } from './UsageCollector.js'
import { UsageSchedule } from './UsageSchedule.js'

const NOW_MS = 1_000_000
/** The present one. */
const WINDOW = 200

describe('UsageCollector', () => {
  let collector: UsageCollector
  const add = (entry: string, process: string, window: number, counts: Record<string, number>): string => collector.add({ entry, process }, { window, counts }, NOW_MS)

  beforeEach(() => {
    collector = new UsageCollector(new UsageSchedule({ entryId: 'a', windowMs: 5000, lateMs: 10_000, leaseMs: 3000 }))
  })

  // Guards against requests that are counted twice after a lost response, and lost when a process is replaced.
  it('adds up entries and processes, and repetitions once, in any order', () => {
    add('a', 'p1', WINDOW, { x: 2 })
    add('a', 'p1', WINDOW, { x: 3, y: 1 })
    add('a', 'p1', WINDOW, { x: 2 })
    add('a', 'p2', WINDOW, { x: 10 })
    add('b', 'p1', WINDOW, { x: 100 })
    add('b', 'p1', WINDOW + 1, { x: 7 })
    expect(collector.close(WINDOW)).toEqual({ counts: { x: 113, y: 1 }, contributors: 3 })
    expect(collector.close(WINDOW + 1).counts).toEqual({ x: 7 })
  })

  it('sums organisations with any name', () => {
    add('a', 'p', WINDOW, JSON.parse('{"__proto__":1,"constructor":2}') as Record<string, number>)
    add('b', 'p', WINDOW, JSON.parse('{"__proto__":1,"constructor":2}') as Record<string, number>)
    expect(JSON.stringify(collector.close(WINDOW).counts)).toEqual('{"__proto__":2,"constructor":4}')
  })

  // Guards against counts of an entry with a wrong clock, and against changes after the commit.
  it('rejects windows far from the present and closed ones', () => {
    expect(add('a', 'p', WINDOW + 2, { x: 1 })).toEqual('refused')
    expect(add('a', 'p', WINDOW - 100, { x: 1 })).toEqual('refused')
    expect(add('a', 'p', WINDOW - 50, { x: 1 })).toEqual('taken')
    expect(collector.oldestWindow).toEqual(WINDOW - 50)
    collector.close(WINDOW)
    expect(add('a', 'p', WINDOW, { x: 1 })).toEqual('refused')
  })

  // Guards against memory that grows with entries while windows cannot be committed.
  it('has a bound, and takes counts again when windows are closed', () => {
    const counts = Object.fromEntries(Array.from({ length: 996 }, (_, index) => [`org-${index}`, 1]))
    const outcomes = Array.from({ length: 121 }, (_, index) => add(`entry-${index}`, 'p', WINDOW, counts))
    expect([outcomes.indexOf('retry'), outcomes.length]).toEqual([120, 121])
    collector.close(WINDOW)
    expect(add('a', 'p', WINDOW + 1, counts)).toEqual('taken')
    collector.removeExpired(NOW_MS + 400_000)
    expect(collector.oldestWindow).toEqual(undefined)
  })
})
