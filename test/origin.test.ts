import { after, before, describe, it, type TestContext } from 'node:test'
import { expect } from 'earl'
import { Cluster } from '../tools/harness/Cluster.js'
import { fetchJson } from '../tools/harness/fetchJson.js'
import { findSampleViolations } from '../tools/harness/findSampleViolations.js'
import { TrainerClient } from '../tools/harness/TrainerClient.js'
import { createTrainingContract } from '../tools/harness/createTrainingContract.js'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import { waitUntil } from '../tools/harness/waitUntil.js'
import type { StandIn } from '../tools/harness/StandIn.js'

const TIMEOUT_MS = 60_000
const MODEL = 'lin-shun/brim'
// Large enough that no sample is regenerated because of staleness: this file tests only the stated origins.
const STALENESS_BOUND = 100
const SAMPLES_PER_GROUP = 4
// Long samples take a second, so that a swap or a crash happens while they are generated.
const LONG_TOKENS = 60
const SHORT_TOKENS = 15
// Long enough that a stream is still running when the test has found the engine that runs it.
const VERY_LONG_TOKENS = 180
const PLACEMENT_ATTEMPTS = 10

describe('origin of samples', { timeout: TIMEOUT_MS }, () => {
  const client = new TrainerClient()
  let cluster: Cluster
  let engines: StandIn[]
  let version = 0
  let step = 0
  let cursor = -1

  before(async () => {
    cluster = await Cluster.start({
      entries: 2,
      services: { 'shaping-llm': { kind: 'engine', count: 2, flags: () => ({ 'tokens-per-second': 60, 'swap-ms': 30 }) } },
      contracts: [createTrainingContract(STALENESS_BOUND)]
    })
    engines = [...cluster.upstreams.values()]
  })
  after(async () => await cluster.dispose())

  const submit = async (prompt = `len=${SHORT_TOKENS}`) => await client.submitStep(cluster.entries[step % 2]!, ++step, [{ group: 'g', prompt, samples: SAMPLES_PER_GROUP }], 200)

  /** Reads the submitted group and checks it against the versions that its token ids encode. */
  async function receiveGroup (tokenCount = SHORT_TOKENS) {
    const response = await client.readGroups(cluster.entries[step % 2]!, cursor, version, 20_000)
    cursor = response.cursor
    expect(response.groups.map((group) => group.step)).toEqual([step])
    expect(findSampleViolations(response.groups.map((group) => ({ ...group, version_known: version })), { stalenessBound: STALENESS_BOUND, samples: SAMPLES_PER_GROUP })).toEqual([])
    const [{ samples }] = response.groups as [typeof response.groups[number]]
    expect(samples.map((sample) => sample.token_ids.length)).toEqual(new Array(SAMPLES_PER_GROUP).fill(tokenCount))
    return samples
  }

  const readLedger = async (engine: StandIn): Promise<any[]> => (await engine.get('/ledger')).requests
  const readRequests = async (): Promise<any[]> => (await Promise.all(engines.map(readLedger))).flat()
  const setFaults = async (faults: Record<string, unknown> = {}) => { for (const engine of engines) await engine.setFaults(faults) }

  async function announceVersion () {
    version++
    await cluster.weights.put(`/v1/weights/${MODEL}/${version}`, {})
    await client.announceVersion(cluster.entries[0]!, version)
  }

  async function waitUntilLoaded () {
    await waitUntil(`every engine states version ${version}`, async () => {
      const states = await Promise.all(engines.map(async (engine) => await engine.get('/v1/state')))
      return states.every(({ versions }) => versions[MODEL] === version)
    })
  }

  async function waitUntilUsed (engine: StandIn) {
    await waitUntil(`every entry uses ${engine.name}`, async () => {
      const reports = await Promise.all(cluster.entries.map(async ({ listen }) => await fetchJson('GET', listen, '/admin/v1/status', undefined, bearerTokens.operators.mei)))
      return reports.every(({ upstreams }) => upstreams.some(({ id, down }: any) => id === engine.name && down === false))
    })
  }

  const waitUntilStreaming = async (count: number) => await waitUntil(`${count} streams run`, async () =>
    (await readRequests()).filter(({ outcome, tokens }) => outcome === 'running' && tokens >= 5).length >= count)

  // Guards against stating a single version for the whole sample.
  it('states both versions of a stream that spans a weight swap', async () => {
    await submit(`len=${LONG_TOKENS}`)
    await waitUntilStreaming(SAMPLES_PER_GROUP)
    await announceVersion()
    const samples = await receiveGroup(LONG_TOKENS)
    expect(samples.every(({ origin }) => origin.map((range) => range.version).join() === '0,1')).toEqual(true)
    await waitUntilLoaded()
  })

  // Guards against stating the second engine's version for tokens of the crashed one.
  it('keeps the ranges of a stream that is resumed after an engine crash', async (context: TestContext) => {
    await engines[0]!.setFaults({ skip_load: true })
    await announceVersion()
    await waitUntilLoaded()
    // The balancer may place the whole group on the other engine; each attempt has a prompt with a different prefix.
    const running = async () => (await readLedger(engines[0]!)).filter(({ outcome }) => outcome === 'running').length
    let attempt = 1
    for (; attempt <= PLACEMENT_ATTEMPTS; attempt++) {
      await submit(`placement ${attempt} len=${VERY_LONG_TOKENS}`)
      await waitUntilStreaming(SAMPLES_PER_GROUP)
      if (await running() > 0) break
      await receiveGroup(VERY_LONG_TOKENS)
    }
    context.diagnostic(`streams ran on ${engines[0]!.name} at attempt ${attempt}`)
    const resumedBefore = (await readLedger(engines[1]!)).filter(({ resumed }) => resumed > 0).length
    await engines[0]!.kill()
    const samples = await receiveGroup(VERY_LONG_TOKENS)
    expect((await readLedger(engines[1]!)).filter(({ resumed }) => resumed > 0).length).toBeGreaterThan(resumedBefore)
    expect(samples.some(({ origin }) => origin.map((range) => range.version).join() === '1,2')).toEqual(true)
  })

  // Guards against assuming that a restarted engine still has the weights that it had loaded before.
  it('states the old version of an engine that restarted without the newest weights', async () => {
    await cluster.weights.setFaults({ outage: true })
    await cluster.restart(engines[0]!)
    await waitUntilUsed(engines[0]!)
    await engines[1]!.kill()
    await submit()
    const samples = await receiveGroup()
    expect(samples.every(({ origin }) => origin.map((range) => range.version).join() === '0')).toEqual(true)
    await cluster.weights.setFaults()
    await cluster.restart(engines[1]!)
    await waitUntilUsed(engines[1]!)
    await waitUntilLoaded()
  })

  // Guards against accepting a stream without its end marker as complete.
  it('completes truncated streams', async () => {
    await setFaults({ truncate_streams: 2 })
    await submit()
    await receiveGroup()
    expect((await readRequests()).filter(({ outcome }) => outcome === 'truncated').length).toEqual(SAMPLES_PER_GROUP)
    await setFaults()
  })

  // Guards against stating only the version of the weights when cached prefixes of older weights were used.
  it('states the version of cached prefixes that an engine kept across a swap', async () => {
    await setFaults({ keep_cache_on_load: true })
    const prompt = `${'brim '.repeat(64)} len=${SHORT_TOKENS}`
    await submit(prompt)
    await receiveGroup()
    await announceVersion()
    await waitUntilLoaded()
    await submit(prompt)
    const samples = await receiveGroup()
    expect(samples.some(({ origin }) => origin.some((range) => range.version === version && range.kv_version === version - 1))).toEqual(true)
    await setFaults()
  })

  // Guards against deriving the version of tokens from the engine's response to a load order.
  it('states the old version when engines report a load that they did not perform', async () => {
    await setFaults({ skip_load: true })
    await announceVersion()
    await waitUntilLoaded()
    await submit()
    const samples = await receiveGroup()
    expect(samples.every(({ origin }) => origin.every((range) => range.version < version))).toEqual(true)
    await setFaults()
  })

  // Guards against recording tokens for which no weight version was stated.
  it('does not record tokens without a version stamp and completes the samples on an engine that sends stamps', async () => {
    await setFaults({ unstamped: true })
    const requestsBefore = (await readRequests()).length
    await submit()
    await waitUntil('the samples were started', async () => (await readRequests()).length >= requestsBefore + SAMPLES_PER_GROUP)
    const earlyRead = await client.readGroups(cluster.entries[0]!, cursor, version, 500)
    expect(earlyRead.groups).toEqual([])
    await engines[0]!.setFaults()
    await receiveGroup()
    await setFaults()
  })
})
