import { readdirSync, readFileSync } from 'node:fs'
import { Disposable } from '../../src/common/kernel/Disposable.js'
import { toDisposable } from '../../src/common/kernel/toDisposable.js'

const SAMPLE_INTERVAL_MS = 20
const UNREAD_INTERVAL_MS = 100
const KB_PER_MB = 1024
const BYTES_PER_MB = 1024 * 1024
/** State of the system's table of connections in which a socket only listens; its queue counts connections. */
const LISTENING = '0A'

/** Highest memory and descriptor use of one process, as the system reports them. Infinite memory means that it has ended. */
export class HostWatch extends Disposable {
  private _maxFds = 0
  private _maxUsedMb = 0

  /** `addresses` are those at which the process listens. */
  constructor (private readonly _pid: number, private readonly _addresses: string[]) {
    super()
    const timers = [setInterval(() => this._sample(), SAMPLE_INTERVAL_MS), setInterval(() => this._sampleMemory(), UNREAD_INTERVAL_MS)]
    this._register(toDisposable(() => timers.forEach(timer => clearInterval(timer))))
  }

  /**
   * Highest sum, in all samples, of resident memory and the bytes that the system has received for the process and that it
   * has not read, which platforms count as its memory too.
   */
  peakUsedMb (): number {
    this._sampleMemory()
    return this._maxUsedMb
  }

  /** Highest resident memory since the start of the process; infinite when it has ended. */
  peakMemoryMb (): number {
    try {
      const peakKb = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${this._pid}/status`, 'utf8'))?.[1]
      return peakKb === undefined ? Infinity : Number(peakKb) / KB_PER_MB
    } catch {
      return Infinity
    }
  }

  /** Descriptors open now. */
  openFds (): number {
    return readdirSync(`/proc/${this._pid}/fd`).length
  }

  /** Highest number of open descriptors in all samples. */
  peakFds (): number {
    this._sample()
    return this._maxFds
  }

  private _sampleMemory (): void {
    try {
      const residentKb = Number(/VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${this._pid}/status`, 'utf8'))?.[1] ?? Infinity)
      this._maxUsedMb = Math.max(this._maxUsedMb, residentKb / KB_PER_MB + this._unreadBytes() / BYTES_PER_MB)
    } catch {
      this._maxUsedMb = Infinity
    }
  }

  private _unreadBytes (): number {
    const ports = new Set(this._addresses.map(address => Number(address.split(':')[1])))
    let unreadBytes = 0
    for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
      const [, local, , state, queues] = line.trim().split(/\s+/)
      if (local === undefined || queues === undefined || state === LISTENING) continue
      if (ports.has(parseInt(local.split(':')[1] ?? '', 16))) unreadBytes += parseInt(queues.split(':')[1] ?? '', 16)
    }
    return unreadBytes
  }

  private _sample (): void {
    try {
      this._maxFds = Math.max(this._maxFds, this.openFds())
    } catch {
      // The process has ended; the tests check that separately.
    }
  }
}
