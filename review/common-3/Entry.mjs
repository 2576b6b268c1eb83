import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { once } from 'node:events'

const ROOT = new URL('../..', import.meta.url).pathname
/** The platform restarts a process that has ended after a short delay. */
const RESTART_DELAY_MS = 500
const MAX_LOG_LINES = 4000
const MEMORY_CHECK_INTERVAL_MS = 50
const KB_PER_MB = 1000

/** The command of the role `entry` in the deploy file. */
function readCommand () {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync(`${ROOT}deploy/system.toml`, 'utf8')) ?? []
  if (run === undefined) throw new Error('the deploy file has no command')
  return run.split(' ')
}

const running = new Set()
process.once('exit', () => { for (const child of running) child.kill('SIGKILL') })
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => process.exit(2))

/** One entry, started with the command of the deploy file and restarted by its platform when it ends. */
export class Entry {
  logs = []
  /** How its processes have ended: `{ atMs, how, isOwn }`; `isOwn` unless the script ended them. */
  ends = []
  /** Numbers of processes started. */
  starts = 0
  _child
  _isOver = false
  _isExpected = false
  _isHeld = false

  /** Highest resident memory of a process, in megabytes. */
  peakMemoryMb = 0

  /** `memoryMb` is the memory of the machine: the platform kills a process that exceeds it. */
  constructor (name, addresses, settings, folder, record, memoryMb) {
    this.name = name
    this.addresses = addresses
    this._file = `${folder}/${name}.ini`
    this._record = record
    this._memoryMb = memoryMb
    this._watch = setInterval(() => this._checkMemory(), MEMORY_CHECK_INTERVAL_MS).unref()
    writeFileSync(this._file, settings)
  }

  get pid () {
    return this._child?.pid
  }

  get isRunning () {
    return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null
  }

  start () {
    const [program, ...args] = readCommand()
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, HYSSOPVALVE_CONFIG: this._file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    running.add(child)
    this._child = child
    this.starts += 1
    this._isExpected = false
    this._isOverLimit = false
    for (const stream of [child.stdout, child.stderr]) {
      let rest = ''
      stream.on('data', chunk => {
        const lines = (rest + chunk).split('\n')
        rest = lines.pop()
        this.logs.push(...lines)
        if (this.logs.length > 2 * MAX_LOG_LINES) this.logs.splice(0, MAX_LOG_LINES)
      })
    }
    child.once('exit', (code, signal) => {
      running.delete(child)
      const how = signal ?? `exit ${code}`
      const isOwn = !this._isExpected
      this.ends.push({ atMs: performance.now(), how, isOwn })
      this._record(`process of ${this.name} ended: ${how}${isOwn ? ', by itself' : ', ended by the script'}${isOwn ? ` (${this._isOverLimit ? 'memory over the limit' : this._lastWords()})` : ''}`)
      if (!this._isOver) setTimeout(() => { if (!this._isOver && !this._isHeld) this.start() }, RESTART_DELAY_MS)
    })
  }

  /** Sends a signal that ends the process; the platform starts it again unless it is held. */
  end (signal, isHeld = false) {
    this._isExpected = true
    this._isHeld = isHeld
    this._child?.kill(signal)
  }

  /** Sends a signal that does not end the process. */
  signal (signal) {
    this._child?.kill(signal)
  }

  async dispose () {
    this._isOver = true
    clearInterval(this._watch)
    if (!this.isRunning) return
    this._isExpected = true
    const exited = once(this._child, 'exit')
    this._child.kill('SIGCONT')
    this._child.kill('SIGKILL')
    await exited
  }

  _checkMemory () {
    if (!this.isRunning) return
    try {
      const residentKb = Number(/VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.[1] ?? 0)
      const residentMb = residentKb * 1.024 / KB_PER_MB
      this.peakMemoryMb = Math.max(this.peakMemoryMb, residentMb)
      if (residentMb <= this._memoryMb || this._isOverLimit) return
      this._isOverLimit = true
      this._record(`${this.name} has ${Math.round(residentMb)} MB, over the memory of its machine: killed by the platform`)
      this._child.kill('SIGKILL')
    } catch {
      // The process has ended.
    }
  }

  _lastWords () {
    return this.logs.findLast(line => /FATAL|rror:/.test(line))?.trim() ?? this.logs.at(-1)?.slice(0, 200) ?? 'no output'
  }
}
