import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { Cluster } from '../tools/harness/Cluster.js'
import type { ProxyRoute } from '../tools/harness/ProxyRoute.js'
import { findSampleViolations } from '../tools/harness/findSampleViolations.js'
import type { StandIn } from '../tools/harness/StandIn.js'
import { TrainerClient } from '../tools/harness/TrainerClient.js'
import { createTrainingContract } from '../tools/harness/createTrainingContract.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 90_000
const RETENTION_MS = 5000
const HEARTBEAT_TIMEOUT_MS = 1000
const STALENESS_BOUND = 2
const SAMPLES_PER_GROUP = 4
const SEED = Number(process.env['SEED'] ?? Math.floor(Math.random() * 2 ** 31))

/** Seeded random numbers (Mulberry32), so that the order of the faults can be reproduced. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

describe(`exactly-once delivery to the trainer (SEED=${SEED})`, { timeout: TIMEOUT_MS }, () => {
  const random = createRandom(SEED)
  const client = new TrainerClient()
  let cluster: Cluster
  let trainerRoutes: ProxyRoute[]
  let trainer: StandIn
  let [step, cursor] = [0, -1]

  before(async () => {
    cluster = await Cluster.start({
      entries: 4,
      services: { 'shaping-llm': { kind: 'engine', count: 4, flags: () => ({ capacity: 16, 'swap-ms': 30 }) } },
      contracts: [createTrainingContract(STALENESS_BOUND, { key_window_s: 1 })],
      // Short leases, because an entry that starts after the retention has passed waits for 7 lease durations before it acquires one.
      timing: { retention_ms: RETENTION_MS, heartbeat_timeout_ms: HEARTBEAT_TIMEOUT_MS, lease_ms: 1000, lease_guard_ms: 300 },
      log: { 'retention-ms': RETENTION_MS },
      isProxied: (from, to) => from.startsWith('entry') && to === 'log'
    })
    trainerRoutes = await Promise.all(cluster.entries.map(async ({ name, listen }) => await cluster.network.openRoute(`trainer>${name}`, listen)))
  })
  after(async () => await cluster.dispose())

  async function readSampleRecords (): Promise<any[]> {
    const { streams } = await cluster.log.get('/stats')
    const response = await cluster.log.get(`/v1/streams/steps/records?from=${streams.steps.earliest_offset}&limit=10000`)
    return response.records.map(({ value }: any) => value).filter(({ type }: any) => type === 'sample')
  }

  const readTrainerStats = async () => await trainer.get('/stats')
  const pickEntry = () => cluster.entries[Math.floor(random() * cluster.entries.length)]!

  /** Waits until every step submitted so far has been received completely. */
  async function waitUntilCaughtUp () {
    const { steps_submitted: submitted } = await readTrainerStats()
    await waitUntil('the steps are complete', async () => (await readTrainerStats()).steps_done >= submitted, 40_000)
  }

  // Guards against a later record of the same sample replacing the first one or delivering its group again.
  it('delivers the first of two records of a sample when its paused owner and its successor both finish', async () => {
    const [reader, firstOwner, secondOwner] = cluster.entries
    const owners = [firstOwner!, secondOwner!]
    const samples = 16
    await client.submitStep(reader!, ++step, [{ group: 'g', prompt: 'len=100', samples }], 200)
    await waitUntil('all samples run', async () => {
      const ledgers = await Promise.all([...cluster.upstreams.values()].map(async (engine) => (await engine.get('/ledger')).requests))
      return ledgers.flat().filter(({ tokens }) => tokens >= 5).length >= samples
    })
    for (const entry of owners) entry.pause()
    const received = await client.readGroups(reader!, cursor, 0, 20_000)
    expect(findSampleViolations(received.groups.map((group) => ({ ...group, version_known: 0 })), { stalenessBound: STALENESS_BOUND, samples })).toEqual([])
    // The owners can append, but cannot read from the log that the samples are recorded already.
    for (const entry of owners) await cluster.route(entry.name, 'log').setFaults({ one_way_cut: 'to_client' })
    for (const entry of owners) entry.resume()
    await waitUntil('a sample is recorded twice', async () => (await readSampleRecords()).length > samples)
    for (const entry of owners) {
      // Terminates the requests whose responses were discarded.
      await cluster.route(entry.name, 'log').setFaults({ reset: true })
      await cluster.route(entry.name, 'log').setFaults()
    }
    // A trainer that lost the response repeats the read at another entry and gets the same content.
    expect(await client.readGroups(firstOwner!, cursor, 0, 10_000)).toEqual(received)
    cursor = received.cursor
    expect((await client.readGroups(secondOwner!, cursor, 0, 500)).groups).toEqual([])
  })

  // Guards against groups that are lost or repeated when a fault occurs between delivery and acknowledgement, or between a record and its fold.
  it('completes all steps despite killed and paused entries, lost responses, and a log that is unavailable, slow or loses responses', async () => {
    trainer = await cluster.startTrainer('lin-shun', 'brim', {
      addresses: trainerRoutes.map(({ address }) => address).join(),
      'weights-every-ms': 1500,
      'first-step': step + 1,
      'first-cursor': cursor,
      ahead: 1,
      samples: SAMPLES_PER_GROUP,
      'wait-ms': 500,
      'train-ms': 20,
      prompt: 'step {step} group {group} len=pareto:10'
    })
    const faults: Array<() => Promise<unknown>> = [
      async () => {
        const entry = pickEntry()
        await entry.kill()
        await sleep(300)
        await cluster.restart(entry)
      },
      async () => {
        const entry = pickEntry()
        entry.pause()
        await sleep(HEARTBEAT_TIMEOUT_MS + 500)
        entry.resume()
      },
      async () => { for (const route of trainerRoutes) await route.setFaults({ drop_answers: 2 }) },
      async () => await trainer.setFaults({ drop_read_answers: 3 }),
      async () => {
        await cluster.log.setFaults({ outage: true })
        await sleep(800)
        await cluster.log.setFaults()
      },
      async () => {
        await cluster.log.setFaults({ slow_ms: 200 })
        await sleep(1000)
        await cluster.log.setFaults()
      },
      async () => await cluster.log.setFaults({ lose_append_answers: 8 })
    ]
    const shuffled = faults.map((fault) => ({ fault, rank: random() })).sort((a, b) => a.rank - b.rank)
    for (const { fault } of [...shuffled, ...shuffled.slice(0, 2)]) {
      await fault()
      await sleep(200)
    }
    await waitUntilCaughtUp()
  })

  // Guards against unacknowledged state that exists only in memory or in records older than the retention.
  it('keeps the state beyond retention while entries are restarted and one is paused for longer than the retention', async () => {
    const pausedEntry = cluster.entries[3]!
    pausedEntry.pause()
    const pausedAtMs = performance.now()
    for (const entry of cluster.entries.slice(0, 3)) {
      await entry.kill()
      await cluster.restart(entry)
      await waitUntil(`${entry.name} is ready`, async () => await entry.fetchReadinessStatus() === 200)
    }
    await sleep(RETENTION_MS + 500 - (performance.now() - pausedAtMs))
    pausedEntry.resume()
    await waitUntilCaughtUp()
    // The trainer continues only through the entry that was paused.
    for (const route of trainerRoutes.slice(0, 3)) await route.setFaults({ cut: true })
    await waitUntilCaughtUp()
    const { groups } = await trainer.get('/received')
    const { steps_done: done } = await readTrainerStats()
    expect(findSampleViolations(groups, { stalenessBound: STALENESS_BOUND, samples: SAMPLES_PER_GROUP })).toEqual([])
    for (let index = 1; index <= done; index++) {
      expect(groups.filter((group: any) => group.step === step + index).length).toEqual(4)
    }
  })
})
