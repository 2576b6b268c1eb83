import { mkdir, writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { cac } from 'cac'
import { printReport } from './printReport.js'
import { runScenario } from './runScenario.js'
import { scenarios } from './scenarios.js'

// From `dist/bench` to the project.
const RESULTS = fileURLToPath(new URL('../../bench/results/', import.meta.url))

const cli = cac('bench')
cli.option('--scenario <name>', `one of ${Object.keys(scenarios).join(', ')}, or all`, { default: 'all' })
cli.option('--seed <number>', 'seed of arrivals and faults', { default: 1 })
cli.option('--rounds <number>', 'measured rounds of each variant')
cli.option('--seconds <number>', 'duration of a round')
cli.option('--variants <names>', 'variants to run, separated by commas; the first one is compared to the others')
cli.help()
const { options } = cli.parse()

if (options['help'] !== true) await run()

async function run (): Promise<void> {
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
      roundMs: options['seconds'] === undefined ? undefined : Number(options['seconds']) * 1000
    })
    await mkdir(RESULTS, { recursive: true })
    await writeFile(`${RESULTS}${name}-${seed}.json`, JSON.stringify(report, undefined, 2))
    printReport(report, scenario.summaryNames)
  }
}
