import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitUntil } from '../tools/harness/waitUntil.js'
import type { ChaosResult } from './ChaosResult.js'
import { checkHistory } from './checker/checkHistory.js'
import type { History } from './checker/History.js'
import type { TrainerHistory } from './checker/TrainerHistory.js'
import type { Violation } from './checker/Violation.js'
import { EntryPool } from './driver/EntryPool.js'
import { FaultInjector } from './driver/FaultInjector.js'
import { KeepAliveClients } from './driver/KeepAliveClients.js'
import { LedgerReader } from './driver/LedgerReader.js'
import { OperatorLoad } from './driver/OperatorLoad.js'
import { planFaults } from './driver/planFaults.js'
import { planSeries } from './driver/planSeries.js'
import { planEnvironmentSize } from './driver/planEnvironmentSize.js'
import { planWork } from './driver/planWork.js'
import { ChaosEnvironment } from './driver/ChaosEnvironment.js'
import { Workload } from './driver/Workload.js'
import { LiveCheck } from './LiveCheck.js'
import type { SoakOptions } from './SoakOptions.js'

// Leases, heartbeat time-outs and order backoffs of the harness pass several times in it.
const SETTLE_MS = 45_000
// Longest hold of a fault.
const HOLD_MS = 10_000

/**
 * Runs the workload under the faults that the seed draws, and checks what was recorded. `onViolation`
 * hears of those that show while the run goes on; the result has all of them.
 */
export async function runChaos (options: SoakOptions, onViolation: (violation: Violation) => void = () => {}): Promise<ChaosResult> {
  const site = await ChaosEnvironment.start(planEnvironmentSize(options.processes))
  try {
    const history = await record(site, options, onViolation)
    const violations = checkHistory(history)
    return violations.length === 0 ? { history, violations } : { history, violations, logFolder: await keepLogs(site, history, options.seed) }
  } finally {
    await site.cluster.dispose()
  }
}

async function record (site: ChaosEnvironment, { seed, seconds, poisonCount }: SoakOptions, onViolation: (violation: Violation) => void): Promise<History> {
  const durationMs = seconds * 1000
  const pool = new EntryPool(site)
  const injector = new FaultInjector(site, pool)
  const work = new Workload(seed, site, pool)
  const kept = new KeepAliveClients(site.cluster.entries)
  const operators = new OperatorLoad(site, pool)
  const ledgers = new LedgerReader(site, injector.faults)
  const unsettled: string[] = []
  const read = async (): Promise<History> => ({
    calls: [...work.calls, ...kept.calls],
    runs: ledgers.runs,
    trainers: await Promise.all(site.trainers.map(async trainer => await readTrainer(site, trainer))),
    publications: operators.publications,
    views: operators.views,
    marks: injector.marks,
    stops: pool.stops,
    faults: injector.faults,
    unsettled: [...unsettled, ...work.unsettled]
  })
  const live = new LiveCheck(read, onViolation)
  const settle = async (what: string, action: Promise<unknown>, limitMs = SETTLE_MS) => {
    const limit = AbortSignal.timeout(limitMs)
    const late = new Promise((_resolve, reject) => limit.addEventListener('abort', () => reject(new Error('not in time'))))
    await Promise.race([action, late]).catch(error => unsettled.push(`${what}: ${String(error)}`))
  }
  const publishing = operators.run()
  const reading = ledgers.run()
  const keeping = kept.run()
  const checking = live.run()
  const faults = [...planFaults(seed, durationMs), ...planSeries(seed, durationMs, site.cluster.entries.map(entry => entry.name))]
  await Promise.all([
    settle('calls', work.run(planWork(seed, durationMs, poisonCount), durationMs + SETTLE_MS), durationMs + 2 * SETTLE_MS),
    settle('faults', injector.run(faults), durationMs + HOLD_MS + SETTLE_MS)
  ])
  operators.stop()
  live.stop()
  kept.stop()
  await settle('publications', publishing)
  await settle('kept connections', keeping)
  await settle('live check', checking)
  await settle('contracts', waitUntil('all entries show the accepted contracts', async () => await operators.recordFinalViews(), SETTLE_MS))
  await settle('probes', work.probe(SETTLE_MS), 2 * SETTLE_MS)
  await Promise.all(site.trainers.map(async trainer => await settle(trainer.process.name, advance(trainer))))
  await settle('ledgers', ledgers.finish())
  await settle('ledger reads', reading)
  return await read()
}

/** Waits until the trainer has trained a step that it began after all faults were healed. */
async function advance ({ process }: ChaosEnvironment['trainers'][number]): Promise<void> {
  await process.faults({ hold_weights: true })
  const { steps_submitted: submitted } = await process.get('/stats')
  await waitUntil('a further step', async () => (await process.get('/stats')).steps_done > submitted, SETTLE_MS)
}

async function readTrainer (site: ChaosEnvironment, { process, bound }: ChaosEnvironment['trainers'][number]): Promise<TrainerHistory> {
  // In this order, so that all groups of the steps that count as done are in the list.
  const { steps_done: stepsDone } = await process.get('/stats')
  const { groups: received } = await process.get('/received')
  return { trainer: process.name, bound, groupsPerStep: site.groupsPerStep, samplesPerGroup: site.samplesPerGroup, stepsDone, received }
}

async function keepLogs (site: ChaosEnvironment, history: History, seed: number): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), `chaos-${seed}-`))
  await Promise.all(site.cluster.entries.map(async entry => await writeFile(join(folder, `${entry.name}.log`), entry.logs.join('\n'))))
  await writeFile(join(folder, 'history.json'), JSON.stringify(history, undefined, 1))
  return folder
}
