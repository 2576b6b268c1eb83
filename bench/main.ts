import { mkdir, writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { cac } from 'cac'
import { writeReport } from '../tools/report/writeReport.js'
import { createPlots } from './createPlots.js'
import { printReport } from './printReport.js'
import { runScenario } from './runScenario.js'
import { scenarios } from './scenarios.js'

// Relative to `dist/bench`.
const RESULTS_FOLDER = fileURLToPath(new URL('../../bench/results/', import.meta.url))

const cli = cac('bench')
cli.option('--scenario <name>', `one of ${Object.keys(scenarios).join(', ')}, or all`, { default: 'all' })
cli.option('--seed <number>', 'seed of arrivals and injected faults', { default: 1 })
cli.option('--rounds <number>', 'number of measured rounds of each variant')
cli.option('--seconds <number>', 'duration of a round in seconds')
cli.option('--variants <names>', 'comma-separated variants to run; the first one is compared to the others')
cli.help()
const { options } = cli.parse()

if (options['help'] !== true) await runScenarios()

async function runScenarios (): Promise<void> {
  const names = options['scenario'] === 'all' ? Object.keys(scenarios) : [String(options['scenario'])]
  const seed = Number(options['seed'])
  for (const name of names) {
    const scenario = scenarios[name]
    if (scenario === undefined) {
      console.error(`unknown scenario ${name}; known: ${Object.keys(scenarios).join(', ')}, all`)
      process.exitCode = 2
      return
    }
    const variants = options['variants'] === undefined ? scenario.variants : String(options['variants']).split(',')
    const report = await runScenario(name, { ...scenario, variants }, seed, {
      rounds: options['rounds'] === undefined ? undefined : Number(options['rounds']),
      roundMs: options['seconds'] === undefined ? undefined : Number(options['seconds']) * 1000,
      onRound: (round, rounds, variant) => console.log(`bench: scenario=${name} round=${round}/${rounds} variant=${variant}`)
    })
    await mkdir(RESULTS_FOLDER, { recursive: true })
    await writeFile(`${RESULTS_FOLDER}${name}-${seed}.json`, JSON.stringify(report, undefined, 2))
    await writeReport(`${RESULTS_FOLDER}${name}-${seed}.html`, createPlots(report))
    printReport(report, scenario.summaryNames)
  }
}
