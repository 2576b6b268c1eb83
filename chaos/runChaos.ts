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
import { LiveChecker } from './LiveChecker.js'
import type { SoakOptions } from './SoakOptions.js'

// Long enough for several leases, heartbeat time-outs and order back-offs of the harness.
const SETTLE_MS = 45_000
// Time for the longest fault to end after the last one of the schedule has begun.
const FAULT_END_MARGIN_MS = 10_000

/**
 * Runs the workload under the faults drawn from the seed, and checks the recorded history. `onViolation` is called for
 * violations that are detected during the run; the result contains all violations.
 */
export async function runChaos (options: SoakOptions, onViolation: (violation: Violation) => void = () => {}): Promise<ChaosResult> {
  const environment = await ChaosEnvironment.start(planEnvironmentSize(options.processes))
  try {
    const history = await recordHistory(environment, options, onViolation)
    const violations = checkHistory(history)
    return violations.length === 0 ? { history, violations } : { history, violations, logFolder: await saveLogs(environment, history, options.seed) }
  } finally {
    await environment.cluster.dispose()
  }
}

async function recordHistory (environment: ChaosEnvironment, { seed, seconds, poisonCount }: SoakOptions, onViolation: (violation: Violation) => void): Promise<History> {
  const durationMs = seconds * 1000
  const pool = new EntryPool(environment)
  const injector = new FaultInjector(environment, pool)
  const workload = new Workload(seed, environment, pool)
  const keepAliveClients = new KeepAliveClients(environment.cluster.entries)
  const operatorLoad = new OperatorLoad(environment, pool)
  const ledgerReader = new LedgerReader(environment, injector.faults)
  const unsettled: string[] = []
  const readHistory = async (): Promise<History> => ({
    calls: [...workload.calls, ...keepAliveClients.calls],
    runs: ledgerReader.runs,
    trainers: await Promise.all(environment.trainers.map(async trainer => await readTrainer(environment, trainer))),
    publications: operatorLoad.publications,
    views: operatorLoad.views,
    marks: injector.marks,
    stops: pool.stops,
    faults: injector.faults,
    unsettled: [...unsettled, ...workload.unsettled]
  })
  const liveChecker = new LiveChecker(readHistory, onViolation)
  // Records an action as unsettled if it fails or does not complete within the limit.
  const settle = async (label: string, action: Promise<unknown>, limitMs = SETTLE_MS) => {
    const timeoutSignal = AbortSignal.timeout(limitMs)
    const timeout = new Promise((_resolve, reject) => timeoutSignal.addEventListener('abort', () => reject(new Error('time limit exceeded'))))
    await Promise.race([action, timeout]).catch(error => unsettled.push(`${label}: ${String(error)}`))
  }
  const operatorRun = operatorLoad.run()
  const ledgerRun = ledgerReader.run()
  const keepAliveRun = keepAliveClients.run()
  const liveCheckRun = liveChecker.run()
  const faults = [...planFaults(seed, durationMs), ...planSeries(seed, durationMs, environment.cluster.entries.map(entry => entry.name))]
  await Promise.all([
    settle('calls', workload.run(planWork(seed, durationMs, poisonCount), durationMs + SETTLE_MS), durationMs + 2 * SETTLE_MS),
    settle('faults', injector.run(faults), durationMs + FAULT_END_MARGIN_MS + SETTLE_MS)
  ])
  operatorLoad.stop()
  liveChecker.stop()
  keepAliveClients.stop()
  await settle('publications', operatorRun)
  await settle('persistent connections', keepAliveRun)
  await settle('live check', liveCheckRun)
  await settle('contracts', waitUntil('all entries show the accepted contracts', async () => await operatorLoad.recordFinalViews(), SETTLE_MS))
  await settle('probes', workload.probe(SETTLE_MS), 2 * SETTLE_MS)
  await Promise.all(environment.trainers.map(async trainer => await settle(trainer.process.name, waitForNextStep(trainer))))
  await settle('ledgers', ledgerReader.finish())
  await settle('ledger reads', ledgerRun)
  return await readHistory()
}

/** Waits until the trainer has completed a step that it submitted after all faults were removed. */
async function waitForNextStep ({ process }: ChaosEnvironment['trainers'][number]): Promise<void> {
  await process.setFaults({ hold_weights: true })
  const { steps_submitted: submittedSteps } = await process.get('/stats')
  await waitUntil('a further step', async () => (await process.get('/stats')).steps_done > submittedSteps, SETTLE_MS)
}

async function readTrainer (environment: ChaosEnvironment, { process, bound }: ChaosEnvironment['trainers'][number]): Promise<TrainerHistory> {
  // Statistics are read first, so that the list of groups contains all groups of the steps counted as done.
  const { steps_done: stepsDone } = await process.get('/stats')
  const { groups: received } = await process.get('/received')
  return { trainer: process.name, bound, groupsPerStep: environment.groupsPerStep, samplesPerGroup: environment.samplesPerGroup, stepsDone, received }
}

async function saveLogs (environment: ChaosEnvironment, history: History, seed: number): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), `chaos-${seed}-`))
  await Promise.all(environment.cluster.entries.map(async entry => await writeFile(join(folder, `${entry.name}.log`), entry.logs.join('\n'))))
  await writeFile(join(folder, 'history.json'), JSON.stringify(history, undefined, 1))
  return folder
}
