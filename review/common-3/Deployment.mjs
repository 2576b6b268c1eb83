import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Entry } from './Entry.mjs'

const { StoreServer } = await import('../../dist/platform/standin/StoreServer.js')
const { pickAddress } = await import('../../dist/tools/harness/pickAddress.js')

const HEARTBEAT_MS = 400
const READY_TIMEOUT_MS = 30_000
const READY_INTERVAL_MS = 100

/** Sends one request on a channel of its own; `status` is 0 without a complete answer. */
export async function send (address, { method, path, host, headers = {}, body, timeoutMs }) {
  const [hostname, port] = address.split(':')
  return await new Promise(resolve => {
    const none = why => resolve({ status: 0, headers: {}, body: Buffer.alloc(0), why })
    const message = request({ hostname, port, method, path, agent: false, headers: { host, connection: 'close', ...headers, ...body !== undefined && { 'content-length': Buffer.byteLength(body) } }, signal: AbortSignal.timeout(Math.ceil(timeoutMs)) }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('end', () => response.complete ? resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks) }) : none('incomplete'))
      response.on('error', error => none(error.message))
    })
    message.on('error', error => none(error.message))
    message.end(body)
  })
}

/** A small deployment: a store and entries, all on loopback addresses. Writes what happens to `record.txt`. */
export class Deployment {
  /** Its pages of the newest records have 3 records, fewer than the 500 or 1 MB that the platform allows. */
  storeServer = new StoreServer()
  entries = []
  _lines = []
  _startedAtMs = performance.now()

  constructor (recordFile) {
    this._recordFile = recordFile
    this._folder = mkdtempSync(join(tmpdir(), 'review-3-'))
    this.record = line => this._lines.push(`${((performance.now() - this._startedAtMs) / 1000).toFixed(3)} ${line}`)
  }

  get store () {
    return this.storeServer.store
  }

  async startStore () {
    await this.storeServer.listen()
  }

  writeConfig (config) {
    this.store.write('keyed.op', 'config', config)
  }

  /** `storeAddressOf` returns the address of the store that an entry knows. */
  async startEntries (count, limits, storeAddressOf = async () => this.storeServer.address) {
    for (let number = 1; number <= count; number++) {
      const addresses = { listen: await pickAddress(), ready: await pickAddress(), peer: await pickAddress() }
      const name = `front-${number}`
      this.entries.push(new Entry(name, addresses, formatSettings(name, addresses, await storeAddressOf(name), limits), this._folder, this.record, limits.memoryMb))
    }
    for (const entry of this.entries) entry.start()
    await Promise.all(this.entries.map(async entry => await this.waitUntilReady(entry)))
  }

  async waitUntilReady (entry) {
    const endsAtMs = performance.now() + READY_TIMEOUT_MS
    while (performance.now() < endsAtMs) {
      const { status } = await send(entry.addresses.ready, { method: 'GET', path: '/api/ready', host: 'balancer', timeoutMs: 1000 })
      if (status === 200) return
      await sleep(READY_INTERVAL_MS)
    }
    throw new Error(`${entry.name} is not ready: ${entry.logs.slice(-5).join('\n')}`)
  }

  /** The entry that leads according to the newest record in the store. */
  async leader () {
    const page = await this.store.newest('keyed.leader')
    const value = page.isOk() ? page.value.records[0]?.value : undefined
    const address = value === undefined ? undefined : JSON.parse(Buffer.from(value).toString()).address
    return this.entries.find(entry => entry.addresses.peer === address)
  }

  async dispose () {
    for (const entry of this.entries) await entry.dispose()
    this.storeServer.dispose()
    rmSync(this._folder, { recursive: true, force: true })
    writeFileSync(this._recordFile, `${this._lines.join('\n')}\n`)
  }
}

function formatSettings (name, { listen, ready, peer }, storeAddress, { memoryMb, maxFds, extra = '' }) {
  const [ip, port] = peer.split(':')
  return `[entry]
id = ${name}
failure_domain = zone-a
ip = ${ip}
listen = ${listen}
ready = ${ready}
ports = ${port},${port}
cpu_share = 0.675
cpu_speed = 2

[store]
address = ${storeAddress}

[limits]
drain_ms = 2000
heartbeat_ms = ${HEARTBEAT_MS}
grace_s = 8
lease_ms = 3000
result_s = 120
memory_mb = ${memoryMb}
max_fds = ${maxFds}
${extra}`
}

/** Runs a script: exits with 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (recordFile, run) {
  const deployment = new Deployment(recordFile)
  let status = 2
  try {
    const violations = await run(deployment, process.env.TROUBLE !== '0')
    for (const line of violations) deployment.record(`BROKEN ${line}`)
    console.log(violations.length === 0 ? 'the rule held' : violations.join('\n'))
    status = violations.length === 0 ? 0 : 1
  } catch (error) {
    deployment.record(`could not run: ${error.message ?? error}`)
    console.error(error)
  } finally {
    await deployment.dispose()
  }
  process.exit(status)
}
