import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster } from '../tools/harness/Cluster.js'
import { readExampleContract } from '../tools/harness/readExampleContract.js'
import type { StandIn } from '../tools/harness/StandIn.js'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import { waitUntil } from '../tools/harness/waitUntil.js'
import { checkSamples } from './checkSamples.js'
import { DemoCaller } from './DemoCaller.js'
import type { DemoCounters } from './DemoCounters.js'

const ROUNDS = 20
const STEPS = 2
const GROUPS = 6
const SAMPLES = 4
const TRAINING_TIMEOUT_MS = 40_000

const keys: string[] = []
const tally: DemoCounters = { requests: 0, answered: 0, lost: 0, duplicated: 0, stale: 0 }

console.log('starting log, membership list, weight store, 5 engines, 4 servers of plain services and 3 entries')
const cluster = await Cluster.start({
  entries: 3,
  services: {
    'shaping-llm': { kind: 'engine', count: 2, flags: index => ({ 'tokens-per-second': 100 * (index + 1) }) },
    'order-app': { kind: 'plain', count: 2 },
    mester: { kind: 'engine', count: 3, flags: index => ({ 'tokens-per-second': 60 * (index + 1) }) },
    kapu: { kind: 'plain', count: 2 }
  },
  contracts: [await readExampleContract('lin-shun'), await readExampleContract('almaskert')]
})
try {
  await run()
} finally {
  await cluster.dispose()
}
const isGood = tally.answered === tally.requests && tally.lost + tally.duplicated + tally.stale === 0
process.exitCode = isGood ? 0 : 1
console.log(`demo: requests=${tally.requests} answered=${tally.answered} lost=${tally.lost} duplicated=${tally.duplicated} stale=${tally.stale}`)

async function run (): Promise<void> {
  const { balancer, front } = await cluster.startBalancer()
  const linShun = new DemoCaller(front, bearerTokens['lin-shun'], tally)
  const almaskert = new DemoCaller(front, bearerTokens.almaskert, tally)
  console.log('running two training steps for brim (Lin Shun) and cellar-red (Almáskert)')
  const trainers = await Promise.all([startTrainer('lin-shun', 'brim', front), startTrainer('almaskert', 'cellar-red', front)])
  const streams = Promise.all(Array.from({ length: 8 }, async (_, index) => {
    await linShun.stream('shaping-llm', `advice on brim ${index}`, 200)
    await almaskert.stream('mester', `tasting note ${index}`, 200)
  }))
  console.log(`sending ${ROUNDS} rounds of lookups and tickets beside streams; a new weight version comes every second`)
  for (let round = 0; round < ROUNDS; round++) {
    // A killed entry leaves its unfinished tickets with the outcome unknown, so the entry dies between rounds.
    if (round === ROUNDS / 2) await killEntry(balancer)
    await Promise.all([
      linShun.lookup('order-app', `hood-${round}`),
      linShun.ticket('order-app', `stiffen-${round}`),
      almaskert.lookup('kapu', `batch-${round}`),
      almaskert.ticket('kapu', `grower-${round}`)
    ])
    await sleep(100)
  }
  await streams
  await Promise.all(trainers.map(async trainer => await waitUntil(`${trainer.name} has its steps`,
    async () => (await trainer.get('/stats')).steps_done >= STEPS, TRAINING_TIMEOUT_MS)))
  await countTickets()
  await countSamples(trainers)
}

async function startTrainer (organisation: 'lin-shun' | 'almaskert', trainer: string, front: string): Promise<StandIn> {
  return await cluster.startTrainer(organisation, trainer, {
    addresses: front, steps: STEPS, groups: GROUPS, samples: SAMPLES, 'max-tokens': 160, 'weights-every-ms': 1000
  })
}

/** Kills an entry; the load balancer goes on sending to it for a while. */
async function killEntry (balancer: StandIn): Promise<void> {
  console.log('killing entry-2')
  await cluster.entry('entry-2').kill()
  const targets = cluster.entries.filter(entry => entry.name !== 'entry-2').map(entry => entry.listen)
  await balancer.put('/targets', { targets })
}

/** Compares the tickets with what the services' own ledgers say. */
async function countTickets (): Promise<void> {
  for (const [id, upstream] of cluster.upstreams) {
    if (!id.startsWith('order-app') && !id.startsWith('kapu')) continue
    const { calls } = await upstream.get('/ledger?path=/tickets')
    keys.push(...calls.map((call: { key: string }) => call.key))
  }
  tally.duplicated += keys.length - new Set(keys).size
}

async function countSamples (trainers: StandIn[]): Promise<void> {
  const expected = { steps: STEPS, groups: GROUPS, samples: SAMPLES }
  for (const [index, trainer] of trainers.entries()) {
    const { groups } = await trainer.get('/received')
    const { version_announced: version } = await trainer.get('/stats')
    console.log(`${trainer.name} received ${groups.length} groups, newest weights ${version}`)
    checkSamples(trainer.name, groups, { ...expected, stalenessVersions: index === 0 ? 2 : 1 }, tally)
  }
}
