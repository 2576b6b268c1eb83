import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitUntil } from '../tools/harness/waitUntil.js'
import type { ChaosResult } from './ChaosResult.js'
import { checkHistory } from './checker/checkHistory.js'
import type { History } from './checker/History.js'
import type { TrainerHistory } from './checker/TrainerHistory.js'
import { EntryPool } from './driver/EntryPool.js'
import { FaultInjector } from './driver/FaultInjector.js'
import { LedgerReader } from './driver/LedgerReader.js'
import { OperatorLoad } from './driver/OperatorLoad.js'
import { planFaults } from './driver/planFaults.js'
import { planWork } from './driver/planWork.js'
import { Site } from './driver/Site.js'
import { Workload } from './driver/Workload.js'

// Leases, heartbeat time-outs and order backoffs of the harness pass several times in it.
const SETTLE_MS = 45_000
// Longest hold of a fault.
const HOLD_MS = 10_000

/**
 * Runs the workload under the faults that the seed draws, and checks what was recorded.
 * `poisonCount` requests crash each engine that runs them.
 */
export async function runChaos (seed: number, seconds: number, poisonCount = 1): Promise<ChaosResult> {
  const site = await Site.start()
  try {
    const history = await record(site, seed, seconds * 1000, poisonCount)
    const violations = checkHistory(history)
    return violations.length === 0 ? { history, violations } : { history, violations, logFolder: await keepLogs(site, history, seed) }
  } finally {
    await site.cluster.dispose()
  }
}

async function record (site: Site, seed: number, durationMs: number, poisonCount: number): Promise<History> {
  const pool = new EntryPool(site)
  const injector = new FaultInjector(site, pool)
  const work = new Workload(seed, site, pool)
  const operators = new OperatorLoad(site, pool)
  const ledgers = new LedgerReader(site, injector.faults)
  const unsettled: string[] = []
  const settle = async (what: string, action: Promise<unknown>, limitMs = SETTLE_MS) => {
    const limit = AbortSignal.timeout(limitMs)
    const late = new Promise((_resolve, reject) => limit.addEventListener('abort', () => reject(new Error('not in time'))))
    await Promise.race([action, late]).catch(error => unsettled.push(`${what}: ${String(error)}`))
  }
  const publishing = operators.run()
  const reading = ledgers.run()
  await Promise.all([
    settle('calls', work.run(planWork(seed, durationMs, poisonCount), durationMs + SETTLE_MS), durationMs + 2 * SETTLE_MS),
    settle('faults', injector.run(planFaults(seed, durationMs)), durationMs + HOLD_MS + SETTLE_MS)
  ])
  operators.stop()
  await settle('publications', publishing)
  await settle('contracts', waitUntil('all entries show the accepted contracts', async () => await operators.settle(), SETTLE_MS))
  await settle('probes', work.probe(SETTLE_MS), 2 * SETTLE_MS)
  await Promise.all(site.trainers.map(async trainer => await settle(trainer.process.name, advance(trainer))))
  await settle('ledgers', ledgers.finish())
  await settle('ledger reads', reading)
  return {
    calls: work.calls,
    runs: ledgers.runs,
    trainers: await Promise.all(site.trainers.map(async trainer => await readTrainer(site, trainer))),
    publications: operators.publications,
    views: operators.views,
    marks: injector.marks,
    stops: pool.stops,
    faults: injector.faults,
    unsettled: [...unsettled, ...work.unsettled]
  }
}

/** Waits until the trainer has trained a step that it began after all faults were healed. */
async function advance ({ process }: Site['trainers'][number]): Promise<void> {
  await process.faults({ hold_weights: true })
  const { steps_submitted: submitted } = await process.get('/stats')
  await waitUntil('a further step', async () => (await process.get('/stats')).steps_done > submitted, SETTLE_MS)
}

async function readTrainer (site: Site, { process, bound }: Site['trainers'][number]): Promise<TrainerHistory> {
  // In this order, so that all groups of the steps that count as done are in the list.
  const { steps_done: stepsDone } = await process.get('/stats')
  const { groups: received } = await process.get('/received')
  return { trainer: process.name, bound, groupsPerStep: site.groupsPerStep, samplesPerGroup: site.samplesPerGroup, stepsDone, received }
}

async function keepLogs (site: Site, history: History, seed: number): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), `chaos-${seed}-`))
  await Promise.all(site.cluster.entries.map(async entry => await writeFile(join(folder, `${entry.name}.log`), entry.logs.join('\n'))))
  await writeFile(join(folder, 'history.json'), JSON.stringify(history, undefined, 1))
  return folder
}
