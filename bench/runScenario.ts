import { loadavg } from 'node:os'
import { createRandom } from './createRandom.js'
import type { IBenchEnvironment } from './IBenchEnvironment.js'
import type { Report } from './Report.js'
import type { Scenario } from './Scenario.js'

interface RunOptions {
  rounds?: number
  roundMs?: number
  /** Called before each measured round, and with round 0 before the warm-up. */
  onRound?: (round: number, rounds: number, variant: string) => void
}

/**
 * Runs all rounds, alternating between the variants (A B A B). If processes are kept across rounds, an additional first
 * round warms them up and is not reported.
 */
export async function runScenario (name: string, scenario: Scenario, seed: number, options: RunOptions): Promise<Report> {
  const rounds = options.rounds ?? scenario.rounds
  const roundMs = options.roundMs ?? scenario.roundMs
  const restartsEachRound = scenario.restartsEachRound === true
  const report: Report = { scenario: name, seed, roundMs, rounds: {}, startedAt: new Date().toISOString(), loadAverage: [loadavg()[0]!, 0] }
  const environments = new Map<string, IBenchEnvironment>()
  try {
    for (const variant of scenario.variants) report.rounds[variant] = []
    if (!restartsEachRound) {
      await Promise.all(scenario.variants.map(async variant => { environments.set(variant, await scenario.start(variant)) }))
    }
    for (let round = restartsEachRound ? 1 : 0; round <= rounds; round++) {
      for (const variant of scenario.variants) {
        options.onRound?.(round, rounds, variant)
        const environment = environments.get(variant) ?? await scenario.start(variant)
        try {
          const measurements = await environment.measureRound(createRandom(seed, round), roundMs)
          if (round > 0) report.rounds[variant]!.push(measurements)
        } finally {
          if (restartsEachRound) await environment.dispose()
        }
      }
    }
  } finally {
    await Promise.all([...environments.values()].map(async environment => await environment.dispose()))
  }
  report.loadAverage[1] = loadavg()[0]!
  return report
}
