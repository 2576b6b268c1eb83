import { alternativeSelectors } from './alternativeSelectors.js'
import { simulatedLoads } from './simulatedLoads.js'
import { simulateSelection } from './simulateSelection.js'
import type { SimulationResult } from './SimulationResult.js'

const SEEDS = [1, 2, 3, 4]

/** Prints the table of the design note for the number of deciders given as argument. */
function printComparison (deciders: number): void {
  for (const [loadName, createLoad] of Object.entries(simulatedLoads)) {
    for (const [name, select] of Object.entries(alternativeSelectors)) {
      const results = SEEDS.map(seed => simulateSelection(createLoad(deciders), select, seed))
      const mean = (key: keyof SimulationResult): number => results.reduce((sum, result) => sum + result[key], 0) / results.length
      const cells = [loadName, deciders, name, mean('busiestToMean').toFixed(2), mean('p50Ms').toFixed(1), mean('p99Ms').toFixed(1), (100 * mean('rejectedFirstShare')).toFixed(2), (100 * mean('failedShare')).toFixed(2)]
      console.log(`| ${cells.join(' | ')} |`)
    }
  }
}

printComparison(Number(process.argv[2]))
