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

type Answer = Awaited<ReturnType<TrainerClient['readGroups']>>

const TIMEOUT_MS = 60_000
const BOUND = 1
const SAMPLES = 4

describe('staleness at hand-over', { timeout: TIMEOUT_MS }, () => {
  const client = new TrainerClient()
  let cluster: Cluster
  let fronts: ProxyRoute[]
  let [version, step, cursor] = [0, 0, -1]

  before(async () => {
    cluster = await Cluster.start({
      entries: 3,
      services: { 'shaping-llm': { kind: 'engine', count: 3, flags: () => ({ 'swap-ms': 30 }) } },
      contracts: [createTrainingContract(BOUND)],
      isProxied: (from, to) => from.startsWith('entry') && to === 'log'
    })
    fronts = await Promise.all(cluster.entries.map(async ({ name, listen }) => await cluster.network.openRoute(`trainer>${name}`, listen)))
  })
  after(async () => await cluster.dispose())

  const position = async ({ listen }: EntryProcess): Promise<number> =>
    (await fetchJson('GET', listen, '/admin/v1/status', undefined, bearerTokens.operators.mei)).streams.steps.next_offset

  /** Submits a group and waits until it is ready with samples of the newest version. */
  async function prepare () {
    await client.submitStep(cluster.entries[0]!, ++step, [{ group: 'g', prompt: 'len=10', samples: SAMPLES }])
    await waitUntil('the group is ready', async () => (await client.readGroups(cluster.entries[0]!, cursor, version)).groups.length === 1)
  }

  /** Announces a version through the third entry that makes the ready samples too old. */
  async function age () {
    version += BOUND + 1
    await cluster.weights.put(`/v1/weights/lin-shun/brim/${version}`, {})
    await client.announceVersion(cluster.entries[2]!, version)
  }

  const untilRead = async () => await waitUntil('the first entry has read the announcement', async () =>
    await position(cluster.entries[0]!) >= await position(cluster.entries[2]!))

  const faultsOf = (groups: Answer['groups']) =>
    findSampleViolations(groups.map((group) => ({ ...group, version_known: version })), { stalenessBound: BOUND, samples: SAMPLES })

  async function expectFresh (answer: Promise<Answer>) {
    const { groups, cursor: next } = await answer
    expect(groups.length).toEqual(1)
    expect(faultsOf(groups)).toEqual([])
    cursor = next
  }

  // Guards against an entry that decides on an outdated version because it cannot read the log.
  it('hands over no old samples through an entry cut from the log when the trainer states its version', async () => {
    await prepare()
    const cut = cluster.entries[1]!
    await cluster.route(cut.name, 'log').setFaults({ cut: true })
    await age()
    const answer = client.readGroups(cut, cursor, version, 2000).catch(() => ({ groups: [] }))
    await expectFresh(client.readGroups(cluster.entries[0]!, cursor, version, 10_000))
    await cluster.route(cut.name, 'log').setFaults()
    expect(faultsOf((await answer).groups)).toEqual([])
  })

  // Guards against deciding on the stated version only, which a read delayed on its way states too low.
  it('runs old samples again when the announcement went through another entry and the read was delayed', async () => {
    await prepare()
    await fronts[0]!.setFaults({ freeze: true })
    const answer = client.readGroups(fronts[0]!.address, cursor, version, 10_000)
    await age()
    await untilRead()
    await fronts[0]!.setFaults()
    await expectFresh(answer)
  })

  // Guards against samples that age between the check and the trainer, in any of the ways together.
  it('keeps the bound with stragglers, slow reads, changing entries and weights in quick succession', async () => {
    for (const front of fronts) await front.setFaults({ delay_ms: 40 })
    const trainer = await cluster.startTrainer('lin-shun', 'brim', {
      addresses: fronts.map(({ address }) => address).join(),
      version,
      'weights-every-ms': 400,
      'first-step': step + 1,
      'first-cursor': cursor,
      ahead: 1,
      samples: SAMPLES,
      prompt: 'step {step} group {group} len=pareto:10'
    })
    for (const front of fronts) {
      await sleep(400)
      await trainer.setFaults({ paused: true })
      // Groups that are ready age by more than the bound meanwhile.
      await sleep(1000)
      await trainer.setFaults()
      await front.setFaults({ reset: true })
      await sleep(100)
      await front.setFaults({ delay_ms: 40 })
    }
    const { steps_submitted: submitted } = await trainer.get('/stats')
    await waitUntil('the steps are whole', async () => (await trainer.get('/stats')).steps_done >= submitted)
    const { groups } = await trainer.get('/received')
    expect(findSampleViolations(groups, { stalenessBound: BOUND, samples: SAMPLES })).toEqual([])
    const { records } = await cluster.log.get('/v1/streams/steps/records?from=0&limit=10000')
    expect(records.some(({ value }: any) => value.type === 'expire' && value.step > step)).toEqual(true)
    trainer.dispose()
  })
})
