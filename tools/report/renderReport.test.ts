import { describe, it } from 'node:test'
import { expect } from 'earl'
import { countByDuration } from './countByDuration.js'
import { countPerSecond } from './countPerSecond.js'
import { renderReport } from './renderReport.js'

describe('renderReport', () => {
  it('renders one page with facts and charts, and escapes text', () => {
    const page = renderReport({
      title: 'run <1>',
      facts: [['calls', '12']],
      charts: [
        { title: 'latency', kind: 'bar', xName: 'ms', yName: 'calls', series: [{ name: 'calls', points: countByDuration([1, 7, 8]) }] },
        { title: 'refusals', kind: 'line', xName: 's', yName: 'calls', series: [{ name: '503', points: countPerSecond([100, 2500]) }] }
      ]
    })
    expect(page).toInclude('run &lt;1&gt;')
    expect(page).toInclude('<th>calls</th><td>12</td>')
    expect(page.match(/<svg/g)?.length).toEqual(2)
    expect(page.includes('http-equiv') || page.includes('src=')).toEqual(false)
  })

  it('counts durations by bounds and times by second', () => {
    expect(countByDuration([1, 7, 8])).toEqual([['0 to 5', 1], ['5 to 10', 2]])
    expect(countByDuration([])).toEqual([])
    expect(countPerSecond([100, 200, 2500])).toEqual([[0, 2], [1, 0], [2, 1]])
    expect(countPerSecond([])).toEqual([])
  })
})
