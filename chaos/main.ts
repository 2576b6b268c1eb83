import { cac } from 'cac'
import { formatResult } from './formatResult.js'
import { runChaos } from './runChaos.js'

// Start, settling and collection take less; only a fault of the driver itself needs this limit.
const OVERHEAD_MS = 300_000

const cli = cac('chaos')
cli.option('--seed <seed>', 'Seed of schedule and workload', { default: 1 })
cli.option('--seconds <seconds>', 'Time during which calls and faults begin', { default: 20 })
cli.option('--poison <count>', 'Requests that crash each engine that runs them', { default: 1 })
cli.help()
const { options } = cli.parse()
const seed = Number(options['seed'])
const seconds = Number(options['seconds'])
const poisonCount = Number(options['poison'])
if (options['help'] !== true) {
  if (!Number.isInteger(seed) || !(seconds > 0) || !(poisonCount >= 0)) {
    console.error('--seed must be an integer, --seconds above 0 and --poison 0 or more')
    process.exit(2)
  }
  setTimeout(() => {
    console.log('violation rule="ends" subject="run" the run itself did not end')
    console.log(`chaos: seed=${seed} requests=0 faults=0 violations=1`)
    process.exit(1)
  }, seconds * 1000 + OVERHEAD_MS).unref()
  const result = await runChaos(seed, seconds, poisonCount)
  console.log(formatResult(seed, result))
  process.exit(result.violations.length === 0 ? 0 : 1)
}
