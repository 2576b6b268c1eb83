import type { StandIn } from '../tools/harness/StandIn.js'
import type { Measurements } from './Measurements.js'
import { median } from './median.js'

interface Received {
  groups: Array<{ version_known: number, samples: Array<{ origin: Array<{ version: number, kv_version: number }> }> }>
}

/**
 * Idle time, step time and staleness of trainers, over all of them. Idle is all time but that of training,
 * the wait for a step that is not whole yet included.
 */
export async function measureTrainers (trainers: readonly StandIn[], trainMs: number): Promise<Measurements> {
  const stats = await Promise.all(trainers.map(async trainer => await trainer.get('/stats')))
  const received: Received[] = await Promise.all(trainers.map(async trainer => await trainer.get('/received')))
  const lags = received.flatMap(({ groups }) => groups.flatMap(({ version_known: known, samples }) =>
    samples.map(({ origin }) => known - Math.min(...origin.map(range => Math.min(range.version, range.kv_version))))))
  const stepMs: number[] = stats.flatMap(stat => stat.step_ms)
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)
  return {
    'trainer idle %': 100 * (1 - stepMs.length * trainMs / sum(stats.map(stat => stat.elapsed_ms))),
    'step p50 ms': median(stepMs),
    'step max ms': Math.max(...stepMs),
    'steps done': stepMs.length,
    'mean staleness versions': sum(lags) / lags.length
  }
}
