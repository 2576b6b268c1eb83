import { cac } from 'cac'
import { writeReport } from '../tools/report/writeReport.js'
import type { ChaosResult } from './ChaosResult.js'
import { createSoakPlots } from './createSoakPlots.js'
import { maxProcesses } from './driver/maxProcesses.js'
import { MIN_PROCESSES } from './driver/MIN_PROCESSES.js'
import { formatResult } from './formatResult.js'
import { formatViolation } from './formatViolation.js'
import { regressionSeeds } from './regressionSeeds.js'
import { runChaos } from './runChaos.js'
import type { SoakOptions } from './SoakOptions.js'

// Start, settling and collection take less time; the limit only takes effect if the driver itself fails to end.
const OVERHEAD_MS = 300_000

const cli = cac('soak')
cli.option('--seed <seed>', 'Seed of the fault schedule and the workload', { default: 1 })
cli.option('--runs <count>', 'Number of consecutive runs, each with the next seed', { default: 1 })
cli.option('--seconds <seconds>', 'Period in which calls and faults begin', { default: 20 })
cli.option('--processes <count>', 'Number of processes of the whole system, including stand-ins', { default: MIN_PROCESSES })
cli.option('--poison <count>', 'Number of poison requests, which crash each engine that runs them', { default: 1 })
cli.option('--regressions', 'Run the seeds that failed in earlier runs')
cli.option('--report <file>', 'HTML file of the report', { default: 'reports/soak.html' })
cli.help()
const { options } = cli.parse()
if (options['help'] !== true) process.exit(await main())

async function main (): Promise<number> {
  const [seed, runs, seconds, processes, poisonCount] = ['seed', 'runs', 'seconds', 'processes', 'poison'].map(name => Number(options[name])) as [number, number, number, number, number]
  const isValid = [seed, runs, processes].every(Number.isInteger) && runs > 0 && seconds > 0 && poisonCount >= 0
  if (!isValid || processes < MIN_PROCESSES || processes > maxProcesses()) {
    console.error(`--seed and --runs must be integers, --runs and --seconds above 0, --poison 0 or more and --processes from ${MIN_PROCESSES} to ${maxProcesses()}`)
    return 2
  }
  const plans: SoakOptions[] = options['regressions'] === true
    ? regressionSeeds.map(item => ({ ...item, processes }))
    : Array.from({ length: runs }, (_, index) => ({ seed: seed + index, seconds, poisonCount, processes }))
  const results: Array<{ seed: number, result: ChaosResult }> = []
  for (const [index, plan] of plans.entries()) {
    console.log(`soak: run=${index + 1}/${plans.length} seed=${plan.seed} seconds=${plan.seconds}`)
    results.push({ seed: plan.seed, result: await runOne(plan) })
  }
  const failed = results.filter(({ result }) => result.violations.length > 0).length
  const file = String(options['report'])
  await writeReport(file, createSoakPlots(results))
  console.log(`report: ${file}`)
  if (plans.length > 1) console.log(`soak: runs=${plans.length} failed=${failed}`)
  return failed === 0 ? 0 : 1
}

async function runOne (plan: SoakOptions): Promise<ChaosResult> {
  const watchdog = setTimeout(() => {
    console.log('violation rule="ends" subject="run" the run did not end in time')
    console.log(`chaos: seed=${plan.seed} requests=0 faults=0 violations=1`)
    process.exit(1)
  }, plan.seconds * 1000 + OVERHEAD_MS)
  const startedAtMs = Date.now()
  const result = await runChaos(plan, violation => console.log(`after ${Date.now() - startedAtMs} ms: ${formatViolation(violation)[0]}`))
  clearTimeout(watchdog)
  console.log(formatResult(plan.seed, result))
  return result
}
