import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { Cluster } from '../tools/harness/Cluster.js'
import type { EntryProcess } from '../tools/harness/EntryProcess.js'
import { httpJson } from '../tools/harness/httpJson.js'
import type { ProxyRoute } from '../tools/harness/ProxyRoute.js'
import { receivedFaults } from '../tools/harness/receivedFaults.js'
import { tokens } from '../tools/harness/tokens.js'
import { TrainerClient } from '../tools/harness/TrainerClient.js'
import { trainingContract } from '../tools/harness/trainingContract.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

type Answer = Awaited<ReturnType<TrainerClient['read']>>

const TIMEOUT_MS = 60_000
const STALENESS_BOUND = 1
const SAMPLES_PER_GROUP = 4

describe('staleness at delivery', { timeout: TIMEOUT_MS }, () => {
  const client = new TrainerClient()
  let cluster: Cluster
  let trainerRoutes: ProxyRoute[]
  let [version, step, cursor] = [0, 0, -1]

  before(async () => {
    cluster = await Cluster.start({
      entries: 3,
      services: { 'shaping-llm': { kind: 'engine', count: 3, flags: () => ({ 'swap-ms': 30 }) } },
      contracts: [trainingContract(STALENESS_BOUND)],
      proxied: (from, to) => from.startsWith('entry') && to === 'log'
    })
    trainerRoutes = await Promise.all(cluster.entries.map(async ({ name, listen }) => await cluster.network.open(`trainer>${name}`, listen)))
  })
  after(async () => await cluster.dispose())

  const readStepsOffset = async ({ listen }: EntryProcess): Promise<number> =>
    (await httpJson('GET', listen, '/admin/v1/status', undefined, tokens.operators.mei)).streams.steps.next_offset

  /** Submits a group and waits until it is complete with samples of the newest version. */
  async function prepareGroup () {
    await client.submit(cluster.entries[0]!, ++step, [{ group: 'g', prompt: 'len=10', samples: SAMPLES_PER_GROUP }])
    await waitUntil('the group is ready', async () => (await client.read(cluster.entries[0]!, cursor, version)).groups.length === 1)
  }

  /** Announces a version through the third entry for which the ready samples are too stale. */
  async function announceNewerVersion () {
    version += STALENESS_BOUND + 1
    await cluster.weights.put(`/v1/weights/lin-shun/brim/${version}`, {})
    await client.announce(cluster.entries[2]!, version)
  }

  const waitUntilAnnouncementRead = async () => await waitUntil('the first entry has read the announcement', async () =>
    await readStepsOffset(cluster.entries[0]!) >= await readStepsOffset(cluster.entries[2]!))

  const findFaults = (groups: Answer['groups']) =>
    receivedFaults(groups.map((group) => ({ ...group, version_known: version })), { bound: STALENESS_BOUND, samples: SAMPLES_PER_GROUP })

  async function expectFreshGroup (answer: Promise<Answer>) {
    const { groups, cursor: next } = await answer
    expect(groups.length).toEqual(1)
    expect(findFaults(groups)).toEqual([])
    cursor = next
  }

  // Guards against an entry that decides by an outdated version because it cannot read the log.
  it('delivers no stale samples through an entry that is cut off from the log when the trainer states its version', async () => {
    await prepareGroup()
    const cutOffEntry = cluster.entries[1]!
    await cluster.route(cutOffEntry.name, 'log').faults({ cut: true })
    await announceNewerVersion()
    const answer = client.read(cutOffEntry, cursor, version, 2000).catch(() => ({ groups: [] }))
    await expectFreshGroup(client.read(cluster.entries[0]!, cursor, version, 10_000))
    await cluster.route(cutOffEntry.name, 'log').faults()
    expect(findFaults((await answer).groups)).toEqual([])
  })

  // Guards against deciding only by the version that the read states, which is too low if the read was delayed in the network.
  it('regenerates stale samples when the announcement went through another entry and the read was delayed', async () => {
    await prepareGroup()
    await trainerRoutes[0]!.faults({ freeze: true })
    const answer = client.read(trainerRoutes[0]!.address, cursor, version, 10_000)
    await announceNewerVersion()
    await waitUntilAnnouncementRead()
    await trainerRoutes[0]!.faults()
    await expectFreshGroup(answer)
  })

  // Guards against samples that become stale between the check and their arrival at the trainer, with all causes combined.
  it('keeps the staleness bound with stragglers, slow reads, changing entries and new weights in quick succession', async () => {
    for (const route of trainerRoutes) await route.faults({ delay_ms: 40 })
    const trainer = await cluster.startTrainer('lin-shun', 'brim', {
      addresses: trainerRoutes.map(({ address }) => address).join(),
      version,
      'weights-every-ms': 400,
      'first-step': step + 1,
      'first-cursor': cursor,
      ahead: 1,
      samples: SAMPLES_PER_GROUP,
      prompt: 'step {step} group {group} len=pareto:10'
    })
    for (const route of trainerRoutes) {
      await sleep(400)
      await trainer.faults({ paused: true })
      // Meanwhile the ready groups become more stale than the bound allows.
      await sleep(1000)
      await trainer.faults()
      await route.faults({ reset: true })
      await sleep(100)
      await route.faults({ delay_ms: 40 })
    }
    const { steps_submitted: submitted } = await trainer.get('/stats')
    await waitUntil('the steps are complete', async () => (await trainer.get('/stats')).steps_done >= submitted)
    const { groups } = await trainer.get('/received')
    expect(receivedFaults(groups, { bound: STALENESS_BOUND, samples: SAMPLES_PER_GROUP })).toEqual([])
    const { records } = await cluster.log.get('/v1/streams/steps/records?from=0&limit=10000')
    expect(records.some(({ value }: any) => value.type === 'expire' && value.step > step)).toEqual(true)
    trainer.dispose()
  })
})
