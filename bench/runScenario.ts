import { loadavg } from 'node:os'
import { createRandom } from './createRandom.js'
import type { IBenchEnvironment } from './IBenchEnvironment.js'
import type { Report } from './Report.js'
import type { Scenario } from './Scenario.js'

/** Runs all rounds, variants taking turns (A B A B); the first round of kept processes only warms them up. */
export async function runScenario (name: string, scenario: Scenario, seed: number, options: { rounds?: number, roundMs?: number }): Promise<Report> {
  const rounds = options.rounds ?? scenario.rounds
  const roundMs = options.roundMs ?? scenario.roundMs
  const isFresh = scenario.restartsEachRound === true
  const report: Report = { scenario: name, seed, roundMs, rounds: {}, startedAt: new Date().toISOString(), loadAverage: [loadavg()[0]!, 0] }
  const beds = new Map<string, IBenchEnvironment>()
  try {
    for (const variant of scenario.variants) report.rounds[variant] = []
    if (!isFresh) {
      await Promise.all(scenario.variants.map(async variant => { beds.set(variant, await scenario.start(variant)) }))
    }
    for (let round = isFresh ? 1 : 0; round <= rounds; round++) {
      for (const variant of scenario.variants) {
        const bed = beds.get(variant) ?? await scenario.start(variant)
        try {
          const figures = await bed.measureRound(createRandom(seed, round), roundMs)
          if (round > 0) report.rounds[variant]!.push(figures)
        } finally {
          if (isFresh) await bed.dispose()
        }
      }
    }
  } finally {
    await Promise.all([...beds.values()].map(async bed => await bed.dispose()))
  }
  report.loadAverage[1] = loadavg()[0]!
  return report
}
