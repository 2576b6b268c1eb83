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
const POLL_MS = 40
const PUBLICATIONS = 20

describe('contracts on 12 entries', { timeout: TIMEOUT_MS }, () => {
  let cluster: Cluster
  let watching: Promise<void>[]
  const isOver = new AbortController()
  const highest = new Map<string, number>()
  const faults: string[] = []
  let marker = 0

  before(async () => {
    cluster = await Cluster.start({
      entries: 12,
      services: { 'shaping-llm': { kind: 'engine', count: 1 } },
      contracts: [createTrainingContract(1, { key_window_s: 1 })],
      timing: { retention_ms: RETENTION_MS },
      log: { 'retention-ms': RETENTION_MS }
    })
    watching = cluster.entries.map(watch)
  })
  after(async () => {
    isOver.abort()
    await Promise.all(watching)
    await cluster.dispose()
  })

  const show = async ({ listen }: EntryProcess) => await fetchJson('GET', listen, PATH, undefined, bearerTokens.operators.mei)
  const revisionOf = async (entry: EntryProcess): Promise<number> => (await show(entry)).revision
  // Asks the entries, because the watched values lag behind on a busy machine.
  const newestRevision = async () => Math.max(...await Promise.all(cluster.entries.map(revisionOf)))
  const anyEntry = () => cluster.entries[marker % cluster.entries.length]!

  /** Notes every revision that an entry shows, restarts included, and whether one is lower than an earlier one. */
  async function watch (entry: EntryProcess) {
    while (!isOver.signal.aborted) {
      // An entry that is down or not ready yet shows nothing, which is no lower revision.
      const revision = await revisionOf(entry).catch(() => undefined)
      const before = highest.get(entry.name) ?? 0
      if (revision !== undefined && revision < before) faults.push(`${entry.name} shows ${revision} after ${before}`)
      highest.set(entry.name, Math.max(before, revision ?? 0))
      await sleep(POLL_MS)
    }
  }

  /** Publishes a contract with a text of its own; resolves with the HTTP status, the revision and the text. */
  async function publish (entry: EntryProcess, base: number, token = bearerTokens.operators.mei) {
    const text = createTrainingContract(1, { key_window_s: 1, max_queue: ++marker })
    const headers = { 'content-type': 'application/json', authorization: `Bearer ${token}` }
    const response = await fetch(`http://${entry.listen}${PATH}`, { method: 'POST', headers, body: JSON.stringify({ base_revision: base, text }) })
    const body: any = await response.json()
    return { status: response.status, revision: body.revision as number, text }
  }

  async function untilEverywhere (revision: number, entries = cluster.entries) {
    await waitUntil(`revision ${revision} is in force on all entries`, async () =>
      (await Promise.all(entries.map(revisionOf))).every((shown) => shown >= revision))
  }

  // Guards against publications that stay with the entry that accepted them.
  it('puts a publication in force on every entry', async (context: TestContext) => {
    const spreads: number[] = []
    for (let i = 0; i < PUBLICATIONS; i++) {
      const entry = anyEntry()
      const startedAtMs = performance.now()
      const { status, revision } = await publish(entry, await revisionOf(entry))
      expect(status).toEqual(200)
      await untilEverywhere(revision)
      spreads.push(performance.now() - startedAtMs)
    }
    spreads.sort((a, b) => a - b)
    context.diagnostic(`publication until in force on 12 entries: median ${Math.round(spreads[PUBLICATIONS / 2]!)} ms, highest ${Math.round(spreads.at(-1)!)} ms of ${PUBLICATIONS}`)
  })

  // Guards against two operators who both believe that their contract is in force.
  it('lets exactly one of two racing operators win', async () => {
    for (let round = 0; round < 8; round++) {
      const base = await newestRevision()
      await untilEverywhere(base)
      const [one, other] = [cluster.entries[round]!, cluster.entries[round + 4]!]
      const results = await Promise.all([publish(one, base), publish(other, base, bearerTokens.operators.ilona)])
      expect(results.map(({ status }) => status).sort()).toEqual([200, 409])
      await untilEverywhere(base + 1)
      const winner = results.find(({ status }) => status === 200)
      const texts = await Promise.all(cluster.entries.map(async (entry) => (await show(entry)).text))
      expect(texts.every((text) => text === winner?.text)).toEqual(true)
    }
  })

  // Guards against an entry that serves without a contract, or never, because it cannot read the log.
  it('brings an entry that starts during a log outage to the contract in force', async () => {
    const base = await newestRevision()
    const late = cluster.entries[11]!
    await cluster.log.setFaults({ outage: true })
    await late.kill()
    await cluster.restart(late)
    await waitUntil('the entry is ready', async () => await late.fetchReadinessStatus() === 200)
    expect(await revisionOf(late)).toEqual(base)
    expect((await publish(late, base)).status).toEqual(503)
    await cluster.log.setFaults()
    await waitUntil('publishing works again', async () => (await publish(late, await newestRevision())).status === 200)
  })

  // Guards against old snapshots or lost records that take an accepted contract back.
  it('never shows a lower revision while operators publish, snapshots are renewed and an entry is paused past retention', async () => {
    const paused = cluster.entries[4]!
    const others = cluster.entries.filter((entry) => entry !== paused)
    paused.pause()
    const endAtMs = performance.now() + RETENTION_MS + 500
    let newest = 0
    while (performance.now() < endAtMs) {
      const entry = others[marker % others.length]!
      const { status, revision } = await publish(entry, await revisionOf(entry))
      if (status === 200) newest = Math.max(newest, revision)
    }
    paused.resume()
    await waitUntil('the paused entry has the newest contract', async () => await revisionOf(paused) >= newest)
    await untilEverywhere(newest)
    expect(faults).toEqual([])
  })

  // Guards against contracts that only memory holds once their records are older than retention.
  it('keeps the contract in force when all entries are replaced at once after a quiet time longer than retention', async () => {
    const newest = await newestRevision()
    await sleep(RETENTION_MS + 500)
    await Promise.all(cluster.entries.map(async (entry) => await entry.kill()))
    await Promise.all(cluster.entries.map(async (entry) => await cluster.restart(entry)))
    await untilEverywhere(newest)
    expect(faults).toEqual([])
  })
})
