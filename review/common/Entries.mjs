import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call } from './call.mjs'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const READY_TIMEOUT_MS = 20_000
/** The figures of the small sheets. */
const BOUNDS = { 'bounds.drain_ms': 2000, 'bounds.grace_s': 8, 'bounds.lease_ms': 3000, 'bounds.status_s': 120, heartbeat_ms: 1200, 'limits.cpu_share': 0.675, 'limits.cores': 2 }

/** The entries of a deployment, each a process with the `run` line of the deploy file and a loopback address of its own. */
export class Entries {
  list = []

  constructor (storeAddress) {
    this._folder = mkdtempSync(join(tmpdir(), 'review-'))
    this._storeAddress = storeAddress
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    this._command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    this._template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8')
  }

  async start (count) {
    for (let number = 1; number <= count; number++) {
      const ip = `127.0.${20 + number}.1`
      const [front, ready, peer] = [await freePort(ip), await freePort(ip), await freePort(ip)]
      const entry = { name: `front-${number}`, ip, front: `${ip}:${front}`, ready: `${ip}:${ready}`, peer: `${ip}:${peer}` }
      entry.settings = join(this._folder, `${entry.name}.ini`)
      entry.log = join(this._folder, `${entry.name}.log`)
      const values = { ...BOUNDS, node_name: entry.name, zone: 'zone-a', ip, 'listen.front': entry.front, 'listen.ready': entry.ready, port_range: `${peer},${peer}`, 'platform.address': this._storeAddress }
      writeFileSync(entry.settings, this._template.replace(/\{\{([\w.]+)\}\}/g, (_, key) => String(values[key])))
      this.list.push(entry)
      this.spawn(entry)
    }
    await Promise.all(this.list.map(entry => this.waitUntilReady(entry)))
  }

  spawn (entry) {
    const output = openSync(entry.log, 'a')
    const { PATH, HOME, LANG } = process.env
    entry.process = spawn(this._command[0], this._command.slice(1), { cwd: ROOT, env: { PATH, HOME, LANG, HYSSOPVALVE_CONFIG: entry.settings }, stdio: ['ignore', output, output] })
    entry.exit = new Promise(resolve => entry.process.once('exit', (code, signal) => resolve({ code, signal, at: performance.now() })))
  }

  async waitUntilReady (entry) {
    const untilMs = performance.now() + READY_TIMEOUT_MS
    while (performance.now() < untilMs) {
      if ((await call(entry.ready, { method: 'GET', path: '/api/ready', headers: { host: 'balancer' }, timeoutMs: 1000 })).status === 200) return
      await new Promise(resolve => setTimeout(resolve, 100))
    }
    throw new Error(`${entry.name} is not ready`)
  }

  /** Ends every process that was started here, and removes their files. */
  stop () {
    for (const { process: child } of this.list) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    rmSync(this._folder, { recursive: true, force: true })
  }
}

async function freePort (ip) {
  const server = createServer()
  await new Promise((resolve, reject) => server.once('error', reject).listen(0, ip, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}
