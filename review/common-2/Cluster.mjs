import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ServerRegistration } from '../../dist/platform/standin/ServerRegistration.js'
import { pickAddress } from '../../dist/tools/harness/pickAddress.js'
import { Engine } from './Engine.mjs'
import { Entry } from './Entry.mjs'
import { Store } from './Store.mjs'

export const HOST = 'ficu95.example'
export const BATCH_PREFIX = '/pufi791/'
export const ENGINES = 'mester'
export const MODEL = 'daka510000'

/** Configuration like the one that the pages show, with the same limits. */
const CONFIG = {
  version: 7,
  routes: [
    { name: 'r-lookup', host: HOST, path_prefix: '/lohu930/', kind: 'idempotent', timeout_ms: 1500, target_latency_ms: 183, priority: 2, service: 'kapu', max_attempts: 2 },
    { name: 'r-batch', host: HOST, path_prefix: BATCH_PREFIX, kind: 'rollout', timeout_ms: 10000, target_latency_ms: 400, priority: 0, service: ENGINES, max_attempts: 3, retention_s: 40, deadline_ms: 7500, single_version: false, sticky: true, resumable: true }
  ],
  services: [
    { name: ENGINES, health_path: '/health', max_conns: 160, protocol: 'h1', tls: false, engine: { slots: 12, kv_capacity_tokens: 71021, kv_token_bytes: 163840, stride: 56, models: [{ name: MODEL }] } },
    { name: 'kapu', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }
  ],
  limits: { max_header_bytes: 16384, max_body_bytes: 33554432, header_timeout_ms: 3000, idle_timeout_ms: 15000 }
}

/** Entries as processes, with a store and model servers as stand-ins in this process. */
export class Cluster {
  entries = []
  engines = []

  static async start ({ entries = 3, engines = 3, slots = 12, memoryMb = 230, graceS = 8, eventsOf, engineOptions, restartMs, configure = config => config }) {
    const cluster = new Cluster()
    cluster._folder = mkdtempSync(join(tmpdir(), 'review-'))
    cluster.store = new Store()
    await cluster.store.listen()
    cluster.config = configure(structuredClone(CONFIG))
    cluster.store.write('keyed.op', 'config', cluster.config)
    for (let number = 1; number <= engines; number++) {
      const engine = new Engine(`i-engine${number}`, ENGINES, MODEL, slots, cluster.store, eventsOf, engineOptions)
      await engine.listen()
      cluster.engines.push(engine)
    }
    for (let number = 1; number <= entries; number++) {
      const addresses = { listen: await pickAddress(), ready: await pickAddress(), peer: await pickAddress() }
      const entry = new Entry(`front-${number}`, addresses, cluster.store.address, join(cluster._folder, `front-${number}.ini`), { memoryMb, graceS, heartbeatMs: ServerRegistration.heartbeatMs })
      // The platform starts a process that has ended again after a short delay.
      if (restartMs !== undefined) entry.onExit = () => { if (!cluster._isDisposed) setTimeout(() => { if (!cluster._isDisposed) entry.start() }, restartMs) }
      cluster.entries.push(entry)
      entry.start()
    }
    for (const entry of cluster.entries) if (!await entry.waitUntilReady()) throw new Error(`${entry.name} is not ready: ${entry.logs.slice(-3).join(' | ')}`)
    return cluster
  }

  /** Entry that leads according to the newest leadership record. */
  leader () {
    const { address } = this.store.newestOf('keyed.leader', 'leader') ?? {}
    return this.entries.find(entry => entry.addresses.peer === address)
  }

  runsOf (itemId) {
    return this.engines.flatMap(engine => engine.runs.filter(run => run.itemId === itemId))
  }

  async dispose () {
    this._isDisposed = true
    for (const entry of this.entries) {
      entry.signal('SIGCONT')
      await entry.kill()
    }
    for (const standIn of [...this.engines, this.store]) standIn.dispose()
    rmSync(this._folder, { recursive: true, force: true })
  }
}
