import { setTimeout as sleep } from 'node:timers/promises'
import { policyOptions } from '../policyOptions.js'
import type { Scenario } from '../Scenario.js'
import { startBenchCluster } from '../startBenchCluster.js'
import { measureTrainers } from '../measureTrainers.js'

const ENGINE_COUNT = 4
const TRAINERS = ['one', 'two']
const TRAIN_MS = 300
const TRAINER_FLAGS = {
  groups: 4,
  samples: 6,
  'max-tokens': 400,
  prompt: 'step {step} group {group} len=pareto:60',
  'train-ms': TRAIN_MS,
  'weights-every-ms': 3000
}

/** Two trainers on the same engines, grouped samples with stragglers, new weights every 3 s. */
export const weights: Scenario = {
  variants: ['default', 'listed', 'one-at-a-time', 'round-robin', 'unbounded'],
  roundMs: 14_000,
  rounds: 2,
  restartsEachRound: true,
  summaryNames: ['trainer idle %', 'step p50 ms', 'mean staleness versions'],
  async start (variant) {
    const { cluster } = await startBenchCluster({
      entries: 3,
      services: { 'shaping-llm': { kind: 'engine', count: ENGINE_COUNT, ...policyOptions[variant]!, flags: () => ({ 'swap-ms': 400 }) } }
    })
    return {
      async measureRound (_random, durationMs) {
        const trainers = await Promise.all(TRAINERS.map(async name => await cluster.startTrainer('almaskert', name, TRAINER_FLAGS)))
        await sleep(durationMs)
        const ledgers = await Promise.all(Array.from({ length: ENGINE_COUNT }, async (_, index) =>
          await cluster.upstream(`shaping-llm-${index + 1}`).get('/ledger')))
        const requests: Array<{ outcome: string, tokens: number }> = ledgers.flatMap(ledger => ledger.requests)
        const tokens = (outcome?: string): number => requests.filter(request => outcome === undefined || request.outcome === outcome)
          .reduce((sum, request) => sum + request.tokens, 0)
        return { ...await measureTrainers(trainers, TRAIN_MS), 'tokens of cancelled samples %': 100 * tokens('cancelled') / tokens() }
      },
      dispose: async () => await cluster.dispose()
    }
  }
}
