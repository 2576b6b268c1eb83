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
// Large enough that no sample is run again because of its age: this file is about what origins state.
const BOUND = 100
const SAMPLES = 4
// Long samples run for a second, so that a swap or a crash falls within them.
const LONG = 60
const SHORT = 15
// Long enough that a stream still runs when the test has seen where it runs.
const VERY_LONG = 180
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
      contracts: [createTrainingContract(BOUND)]
    })
    engines = [...cluster.upstreams.values()]
  })
  after(async () => await cluster.dispose())

  const submit = async (prompt = `len=${SHORT}`) => await client.submitStep(cluster.entries[step % 2]!, ++step, [{ group: 'g', prompt, samples: SAMPLES }], 200)

  /** Reads the submitted group and checks it against the versions that its token ids tell. */
  async function receive (tokenCount = SHORT) {
    const answer = await client.readGroups(cluster.entries[step % 2]!, cursor, version, 20_000)
    cursor = answer.cursor
    expect(answer.groups.map((group) => group.step)).toEqual([step])
    expect(findSampleViolations(answer.groups.map((group) => ({ ...group, version_known: version })), { stalenessBound: BOUND, samples: SAMPLES })).toEqual([])
    const [{ samples }] = answer.groups as [typeof answer.groups[number]]
    expect(samples.map((sample) => sample.token_ids.length)).toEqual(new Array(SAMPLES).fill(tokenCount))
    return samples
  }

  const ledger = async (engine: StandIn): Promise<any[]> => (await engine.get('/ledger')).requests
  const requests = async (): Promise<any[]> => (await Promise.all(engines.map(ledger))).flat()
  const faults = async (of: Record<string, unknown> = {}) => { for (const engine of engines) await engine.setFaults(of) }

  async function announce () {
    version++
    await cluster.weights.put(`/v1/weights/${MODEL}/${version}`, {})
    await client.announceVersion(cluster.entries[0]!, version)
  }

  async function untilLoaded () {
    await waitUntil(`every engine states version ${version}`, async () => {
      const states = await Promise.all(engines.map(async (engine) => await engine.get('/v1/state')))
      return states.every(({ versions }) => versions[MODEL] === version)
    })
  }

  async function untilUp (engine: StandIn) {
    await waitUntil(`every entry uses ${engine.name}`, async () => {
      const reports = await Promise.all(cluster.entries.map(async ({ listen }) => await fetchJson('GET', listen, '/admin/v1/status', undefined, bearerTokens.operators.mei)))
      return reports.every(({ upstreams }) => upstreams.some(({ id, down }: any) => id === engine.name && down === false))
    })
  }

  const untilStreaming = async (count: number) => await waitUntil(`${count} streams run`, async () =>
    (await requests()).filter(({ outcome, tokens }) => outcome === 'running' && tokens >= 5).length >= count)

  // Guards against one version being stated for a whole sample.
  it('names both versions of a stream that spans a weight swap', async () => {
    await submit(`len=${LONG}`)
    await untilStreaming(SAMPLES)
    await announce()
    const samples = await receive(LONG)
    expect(samples.every(({ origin }) => origin.map((range) => range.version).join() === '0,1')).toEqual(true)
    await untilLoaded()
  })

  // Guards against stating the second engine's version for tokens of the dead one.
  it('keeps the ranges of a stream that is resumed after an engine crash', async (context: TestContext) => {
    await engines[0]!.setFaults({ skip_load: true })
    await announce()
    await untilLoaded()
    // The balancer may place a whole group on the other engine; another prompt has another prefix.
    const running = async () => (await ledger(engines[0]!)).filter(({ outcome }) => outcome === 'running').length
    let attempt = 1
    for (; attempt <= PLACEMENT_ATTEMPTS; attempt++) {
      await submit(`placement ${attempt} len=${VERY_LONG}`)
      await untilStreaming(SAMPLES)
      if (await running() > 0) break
      await receive(VERY_LONG)
    }
    context.diagnostic(`streams ran on ${engines[0]!.name} at attempt ${attempt}`)
    const resumedBefore = (await ledger(engines[1]!)).filter(({ resumed }) => resumed > 0).length
    await engines[0]!.kill()
    const samples = await receive(VERY_LONG)
    expect((await ledger(engines[1]!)).filter(({ resumed }) => resumed > 0).length).toBeGreaterThan(resumedBefore)
    expect(samples.some(({ origin }) => origin.map((range) => range.version).join() === '1,2')).toEqual(true)
  })

  // Guards against trusting what an engine had loaded before its restart.
  it('names the old version of an engine that restarted without the newest weights', async () => {
    await cluster.weights.setFaults({ outage: true })
    await cluster.restart(engines[0]!)
    await untilUp(engines[0]!)
    await engines[1]!.kill()
    await submit()
    const samples = await receive()
    expect(samples.every(({ origin }) => origin.map((range) => range.version).join() === '0')).toEqual(true)
    await cluster.weights.setFaults()
    await cluster.restart(engines[1]!)
    await untilUp(engines[1]!)
    await untilLoaded()
  })

  // Guards against taking a stream without its end marker for a whole one.
  it('completes truncated streams', async () => {
    await faults({ truncate_streams: 2 })
    await submit()
    await receive()
    expect((await requests()).filter(({ outcome }) => outcome === 'truncated').length).toEqual(SAMPLES)
    await faults()
  })

  // Guards against stating the weights only, when cached prefixes of older weights took part.
  it('names the version of cached prefixes that an engine kept over a swap', async () => {
    await faults({ keep_cache_on_load: true })
    const prompt = `${'brim '.repeat(64)} len=${SHORT}`
    await submit(prompt)
    await receive()
    await announce()
    await untilLoaded()
    await submit(prompt)
    const samples = await receive()
    expect(samples.some(({ origin }) => origin.some((range) => range.version === version && range.kv_version === version - 1))).toEqual(true)
    await faults()
  })

  // Guards against taking the engine's answer to a load order for the version of its tokens.
  it('names the old version when engines only say that they loaded the new one', async () => {
    await faults({ skip_load: true })
    await announce()
    await untilLoaded()
    await submit()
    const samples = await receive()
    expect(samples.every(({ origin }) => origin.every((range) => range.version < version))).toEqual(true)
    await faults()
  })

  // Guards against recording tokens whose weights nobody stated.
  it('does not record unstamped tokens and completes the samples on an engine that stamps', async () => {
    await faults({ unstamped: true })
    const before = (await requests()).length
    await submit()
    await waitUntil('samples are run', async () => (await requests()).length >= before + SAMPLES)
    const early = await client.readGroups(cluster.entries[0]!, cursor, version, 500)
    expect(early.groups).toEqual([])
    await engines[0]!.setFaults()
    await receive()
    await faults()
  })
})
