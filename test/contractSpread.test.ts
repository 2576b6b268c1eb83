import { after, before, describe, it, type TestContext } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { Cluster } from '../tools/harness/Cluster.js'
import type { EntryProcess } from '../tools/harness/EntryProcess.js'
import { fetchJson } from '../tools/harness/fetchJson.js'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import { createTrainingContract } from '../tools/harness/createTrainingContract.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 90_000
const RETENTION_MS = 4000
const PATH = '/admin/v1/contracts/lin-shun'
const POLL_INTERVAL_MS = 40
const PUBLICATIONS = 20

describe('contracts on 12 entries', { timeout: TIMEOUT_MS }, () => {
  let cluster: Cluster
  let watchers: Promise<void>[]
  const stopController = new AbortController()
  const highestRevisions = new Map<string, number>()
  const decreases: string[] = []
  let publicationCount = 0

  before(async () => {
    cluster = await Cluster.start({
      entries: 12,
      services: { 'shaping-llm': { kind: 'engine', count: 1 } },
      contracts: [createTrainingContract(1, { key_window_s: 1 })],
      timing: { retention_ms: RETENTION_MS },
      log: { 'retention-ms': RETENTION_MS }
    })
    watchers = cluster.entries.map(watchRevision)
  })
  after(async () => {
    stopController.abort()
    await Promise.all(watchers)
    await cluster.dispose()
  })

  const readContract = async ({ listen }: EntryProcess) => await fetchJson('GET', listen, PATH, undefined, bearerTokens.operators.mei)
  const readRevision = async (entry: EntryProcess): Promise<number> => (await readContract(entry)).revision
  // Reads from the entries, because the revisions seen by the watchers lag behind on a busy machine.
  const readNewestRevision = async () => Math.max(...await Promise.all(cluster.entries.map(readRevision)))
  const nextEntry = () => cluster.entries[publicationCount % cluster.entries.length]!

  /** Polls the revision of an entry, also across restarts, and records each decrease. */
  async function watchRevision (entry: EntryProcess) {
    while (!stopController.signal.aborted) {
      // An entry that is down or not ready yet shows no revision, which is not a decrease.
      const revision = await readRevision(entry).catch(() => undefined)
      const before = highestRevisions.get(entry.name) ?? 0
      if (revision !== undefined && revision < before) decreases.push(`${entry.name} shows ${revision} after ${before}`)
      highestRevisions.set(entry.name, Math.max(before, revision ?? 0))
      await sleep(POLL_INTERVAL_MS)
    }
  }

  /** Publishes a contract with a unique text; resolves with the HTTP status, the revision and the text. */
  async function publish (entry: EntryProcess, baseRevision: number, token = bearerTokens.operators.mei) {
    const text = createTrainingContract(1, { key_window_s: 1, max_queue: ++publicationCount })
    const headers = { 'content-type': 'application/json', authorization: `Bearer ${token}` }
    const response = await fetch(`http://${entry.listen}${PATH}`, { method: 'POST', headers, body: JSON.stringify({ base_revision: baseRevision, text }) })
    const body: any = await response.json()
    return { status: response.status, revision: body.revision as number, text }
  }

  async function waitUntilInForce (revision: number, entries = cluster.entries) {
    await waitUntil(`revision ${revision} is in force on all entries`, async () =>
      (await Promise.all(entries.map(readRevision))).every((shown) => shown >= revision))
  }

  // Guards against publications that do not spread beyond the entry that accepted them.
  it('puts a publication in force on every entry', async (context: TestContext) => {
    const durationsMs: number[] = []
    for (let i = 0; i < PUBLICATIONS; i++) {
      const entry = nextEntry()
      const startedAtMs = performance.now()
      const { status, revision } = await publish(entry, await readRevision(entry))
      expect(status).toEqual(200)
      await waitUntilInForce(revision)
      durationsMs.push(performance.now() - startedAtMs)
    }
    durationsMs.sort((a, b) => a - b)
    context.diagnostic(`publication until in force on 12 entries: median ${Math.round(durationsMs[PUBLICATIONS / 2]!)} ms, highest ${Math.round(durationsMs.at(-1)!)} ms of ${PUBLICATIONS}`)
  })

  // Guards against two operators whose contracts are both reported as in force.
  it('accepts exactly one of two concurrent publications', async () => {
    for (let round = 0; round < 8; round++) {
      const base = await readNewestRevision()
      await waitUntilInForce(base)
      const [first, second] = [cluster.entries[round]!, cluster.entries[round + 4]!]
      const results = await Promise.all([publish(first, base), publish(second, base, bearerTokens.operators.ilona)])
      expect(results.map(({ status }) => status).sort()).toEqual([200, 409])
      await waitUntilInForce(base + 1)
      const accepted = results.find(({ status }) => status === 200)
      const texts = await Promise.all(cluster.entries.map(async (entry) => (await readContract(entry)).text))
      expect(texts.every((text) => text === accepted?.text)).toEqual(true)
    }
  })

  // Guards against an entry that serves without a contract, or never becomes ready, because it cannot read the log.
  it('gives an entry that starts during a log outage the contract in force', async () => {
    const base = await readNewestRevision()
    const restarted = cluster.entries[11]!
    await cluster.log.setFaults({ outage: true })
    await restarted.kill()
    await cluster.restart(restarted)
    await waitUntil('the entry is ready', async () => await restarted.fetchReadinessStatus() === 200)
    expect(await readRevision(restarted)).toEqual(base)
    expect((await publish(restarted, base)).status).toEqual(503)
    await cluster.log.setFaults()
    await waitUntil('publishing works again', async () => (await publish(restarted, await readNewestRevision())).status === 200)
  })

  // Guards against old snapshots or lost records that revert an accepted contract.
  it('never shows a lower revision while operators publish, snapshots are renewed and an entry is paused past retention', async () => {
    const paused = cluster.entries[4]!
    const others = cluster.entries.filter((entry) => entry !== paused)
    paused.pause()
    const endAtMs = performance.now() + RETENTION_MS + 500
    let newest = 0
    while (performance.now() < endAtMs) {
      const entry = others[publicationCount % others.length]!
      const { status, revision } = await publish(entry, await readRevision(entry))
      if (status === 200) newest = Math.max(newest, revision)
    }
    paused.resume()
    await waitUntil('the paused entry has the newest contract', async () => await readRevision(paused) >= newest)
    await waitUntilInForce(newest)
    expect(decreases).toEqual([])
  })

  // Guards against contracts that exist only in memory once their records are older than the retention.
  it('keeps the contract in force when all entries are restarted at once after no publication for longer than the retention', async () => {
    const newest = await readNewestRevision()
    await sleep(RETENTION_MS + 500)
    // The log removes what is not renewed while no entry runs, and on a busy host 12 starts take longer than the retention.
    await cluster.log.setFaults({ retention_paused: true })
    const { earliest_offset: earliest, next_offset: next } = (await cluster.log.get('/stats')).streams.contracts
    const { records } = await cluster.log.get(`/v1/streams/contracts/records?from=${earliest}`)
    expect(next).toBeGreaterThan(earliest)
    expect(records.every(({ value }: { value: { type: string } }) => value.type === 'snapshot')).toEqual(true)
    // Renewed after a third of the retention, the newest record leaves at least another third for the restart.
    expect(Date.now() - records.at(-1).time_ms).toBeLessThan(RETENTION_MS * 2 / 3)
    await Promise.all(cluster.entries.map(async (entry) => await entry.kill()))
    await Promise.all(cluster.entries.map(async (entry) => await cluster.restart(entry)))
    await waitUntilInForce(newest)
    expect(decreases).toEqual([])
  })
})
