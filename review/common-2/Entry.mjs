import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createInterface } from 'node:readline'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..')
const READY_INTERVAL_MS = 50

const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2))

/** The `run` line of the deploy file, split at spaces as the platform does. */
function deployCommand () {
  const line = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split('\n').find(text => text.startsWith('run = '))
  return JSON.parse(line.slice('run = '.length)).split(' ')
}

/** One entry of the system, started with the command of the deploy file. */
export class Entry {
  logs = []
  exits = []
  isRunning = false
  _child
  _isStopRequested = false

  constructor (name, addresses, storeAddress, file, { memoryMb, graceS, zone = 'zone-a', heartbeatMs, cpuShare = 0.675, cores = 2, extra = '' }) {
    this.name = name
    this.addresses = addresses
    this._file = file
    const [ip, port] = addresses.peer.split(':')
    writeFileSync(file, `[entry]
id = ${name}
failure_domain = ${zone}
ip = ${ip}
listen = ${addresses.listen}
ready = ${addresses.ready}
ports = ${port},${port}
cpu_share = ${cpuShare}
cpu_speed = ${cores}

[store]
address = ${storeAddress}

[limits]
drain_ms = 2000
heartbeat_ms = ${heartbeatMs}
grace_s = ${graceS}
lease_ms = 3000
result_s = 120
memory_mb = ${memoryMb}
max_fds = 8200

[duties]
${extra}`)
  }

  start () {
    const [program, ...args] = deployCommand()
    const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/tmp', HYSSOPVALVE_CONFIG: this._file }, stdio: ['ignore', 'pipe', 'pipe'] })
    this._child = child
    this.isRunning = true
    children.add(child)
    for (const stream of [child.stdout, child.stderr]) createInterface({ input: stream }).on('line', line => this.logs.push(line))
    this._exited = new Promise(resolve => child.once('exit', (code, signal) => {
      this.isRunning = false
      children.delete(child)
      const exit = { code, signal, isRequested: this._isStopRequested }
      this._isStopRequested = false
      this.exits.push(exit)
      resolve()
      this.onEnded?.(exit)
      this.onExit?.()
    }))
  }

  get pid () { return this._child?.pid }

  signal (name) {
    if (name === 'SIGKILL' || name === 'SIGTERM') this._isStopRequested = true
    if (this.isRunning) this._child.kill(name)
  }

  async kill () {
    if (!this.isRunning) return
    this.signal('SIGKILL')
    await this._exited
  }

  /** Resident memory in MB. */
  residentMb () {
    try {
      return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))[1]) / 1000
    } catch { return 0 }
  }

  async waitUntilReady (timeoutMs = 20_000) {
    const untilMs = performance.now() + timeoutMs
    while (performance.now() < untilMs) {
      const response = await fetch(`http://${this.addresses.ready}/api/ready`).catch(() => undefined)
      if (response?.status === 200) return true
      await new Promise(resolve => setTimeout(resolve, READY_INTERVAL_MS))
    }
    return false
  }
}
