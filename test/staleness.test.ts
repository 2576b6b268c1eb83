import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { Cluster } from '../tools/harness/Cluster.js'
import type { EntryProcess } from '../tools/harness/EntryProcess.js'
import { fetchJson } from '../tools/harness/fetchJson.js'
import type { ProxyRoute } from '../tools/harness/ProxyRoute.js'
import { findSampleViolations } from '../tools/harness/findSampleViolations.js'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import { TrainerClient } from '../tools/harness/TrainerClient.js'
import { createTrainingContract } from '../tools/harness/createTrainingContract.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

type GroupsResponse = Awaited<ReturnType<TrainerClient['readGroups']>>

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
      contracts: [createTrainingContract(STALENESS_BOUND)],
      isProxied: (from, to) => from.startsWith('entry') && to === 'log'
    })
    trainerRoutes = await Promise.all(cluster.entries.map(async ({ name, listen }) => await cluster.network.openRoute(`trainer>${name}`, listen)))
  })
  after(async () => await cluster.dispose())

  const readStepsOffset = async ({ listen }: EntryProcess): Promise<number> =>
    (await fetchJson('GET', listen, '/admin/v1/status', undefined, bearerTokens.operators.mei)).streams.steps.next_offset

  /** Submits a group and waits until it is complete with samples of the newest version. */
  async function prepareGroup () {
    await client.submitStep(cluster.entries[0]!, ++step, [{ group: 'g', prompt: 'len=10', samples: SAMPLES_PER_GROUP }])
    await waitUntil('the group is ready', async () => (await client.readGroups(cluster.entries[0]!, cursor, version)).groups.length === 1)
  }

  /** Announces a version through the third entry for which the ready samples are too stale. */
  async function announceNewerVersion () {
    version += STALENESS_BOUND + 1
    await cluster.weights.put(`/v1/weights/lin-shun/brim/${version}`, {})
    await client.announceVersion(cluster.entries[2]!, version)
  }

  const waitUntilAnnouncementRead = async () => await waitUntil('the first entry has read the announcement', async () =>
    await readStepsOffset(cluster.entries[0]!) >= await readStepsOffset(cluster.entries[2]!))

  const findFaults = (groups: GroupsResponse['groups']) =>
    findSampleViolations(groups.map((group) => ({ ...group, version_known: version })), { stalenessBound: STALENESS_BOUND, samples: SAMPLES_PER_GROUP })

  async function expectFreshGroup (response: Promise<GroupsResponse>) {
    const { groups, cursor: next } = await response
    expect(groups.length).toEqual(1)
    expect(findFaults(groups)).toEqual([])
    cursor = next
  }

  // Guards against an entry that decides by an outdated version because it cannot read the log.
  it('delivers no stale samples through an entry that is cut off from the log when the trainer states its version', async () => {
    await prepareGroup()
    const cutOffEntry = cluster.entries[1]!
    await cluster.route(cutOffEntry.name, 'log').setFaults({ cut: true })
    await announceNewerVersion()
    const response = client.readGroups(cutOffEntry, cursor, version, 2000).catch(() => ({ groups: [] }))
    await expectFreshGroup(client.readGroups(cluster.entries[0]!, cursor, version, 10_000))
    await cluster.route(cutOffEntry.name, 'log').setFaults()
    expect(findFaults((await response).groups)).toEqual([])
  })

  // Guards against deciding only by the version that the read states, which is too low if the read was delayed in the network.
  it('regenerates stale samples when the announcement went through another entry and the read was delayed', async () => {
    await prepareGroup()
    await trainerRoutes[0]!.setFaults({ freeze: true })
    const response = client.readGroups(trainerRoutes[0]!.address, cursor, version, 10_000)
    await announceNewerVersion()
    await waitUntilAnnouncementRead()
    await trainerRoutes[0]!.setFaults()
    await expectFreshGroup(response)
  })

  // Guards against samples that become stale between the check and their arrival at the trainer, with all causes combined.
  it('keeps the staleness bound with stragglers, slow reads, changing entries and new weights in quick succession', async () => {
    for (const route of trainerRoutes) await route.setFaults({ delay_ms: 40 })
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
      await trainer.setFaults({ paused: true })
      // Meanwhile the ready groups become more stale than the bound allows.
      await sleep(1000)
      await trainer.setFaults()
      await route.setFaults({ reset: true })
      await sleep(100)
      await route.setFaults({ delay_ms: 40 })
    }
    const { steps_submitted: submitted } = await trainer.get('/stats')
    await waitUntil('the steps are complete', async () => (await trainer.get('/stats')).steps_done >= submitted)
    const { groups } = await trainer.get('/received')
    expect(findSampleViolations(groups, { stalenessBound: STALENESS_BOUND, samples: SAMPLES_PER_GROUP })).toEqual([])
    const { records } = await cluster.log.get('/v1/streams/steps/records?from=0&limit=10000')
    expect(records.some(({ value }: any) => value.type === 'expire' && value.step > step)).toEqual(true)
    trainer.dispose()
  })
})
