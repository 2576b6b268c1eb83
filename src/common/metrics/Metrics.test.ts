import { describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { Metrics } from './Metrics.js'

describe('Metrics', () => {
  it('exposes counters, gauges and percentiles with the prefix', async () => {
    const metrics = new Metrics()
    metrics.count('requests', { outcome: 'ok' }, 3)
    metrics.gauge('queued', 4)
    for (let ms = 1; ms <= 100; ms++) metrics.duration('request', ms, { service: 'order-app' })
    const lines = (await metrics.exposition()).split('\n')
    expect(lines).toInclude('hyssopvalve_requests{outcome="ok"} 3')
    expect(lines).toInclude('hyssopvalve_queued 4')
    const p50 = lines.find(line => line.includes('quantile="p50"'))
    expect(Math.abs(Number(p50?.split(' ')[1]) - 50)).toBeLessThan(1)
    expect(lines).toInclude('hyssopvalve_request_observed{service="order-app"} 100')
  })

  it('discards durations after two intervals, so that old peaks do not stay visible', async () => {
    mock.timers.enable({ apis: ['setInterval'] })
    const metrics = new Metrics()
    metrics.start()
    metrics.duration('request', 5000)
    mock.timers.tick(30_000)
    expect(await metrics.exposition()).toMatchRegex(/quantile="max"\} 5\d\d\d/)
    mock.timers.tick(30_000)
    expect(await metrics.exposition()).toMatchRegex(/quantile="max"\} 0/)
    metrics.dispose()
    mock.timers.reset()
  })

  it('limits the series of a metric and accepts changing label names', async () => {
    const metrics = new Metrics()
    for (let index = 0; index < 2000; index++) metrics.count('paths', { path: String(index) })
    metrics.count('paths', { other: 'x' })
    const lines = (await metrics.exposition()).split('\n').filter(line => line.startsWith('hyssopvalve_paths{'))
    expect(lines.length).toEqual(500)
  })
})
