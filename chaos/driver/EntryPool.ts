import { setTimeout as sleep } from 'node:timers/promises'
import type { PlannedStop } from '../checker/PlannedStop.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { waitUntil } from '../../tools/harness/waitUntil.js'
import type { ChaosEnvironment } from './ChaosEnvironment.js'

/** Entries that are available to callers. Stops and restarts entries, and keeps the targets of the balancer up to date. */
export class EntryPool {
  readonly stops: PlannedStop[] = []
  /** Called before each stop, to have calls in flight when the stop begins. */
  beforeStop: (entry: EntryProcess) => Promise<void> = async () => {}
  private readonly _unavailable = new Set<EntryProcess>()
  private readonly _restorations = new Map<EntryProcess, Promise<void>>()

  constructor (private readonly _environment: ChaosEnvironment) {}

  get available (): EntryProcess[] {
    return this._environment.cluster.entries.filter(entry => !this._unavailable.has(entry))
  }

  /** Removes an entry from the choice of the callers and, after the balancer's lag, from its targets. */
  remove (entry: EntryProcess): void {
    this._unavailable.add(entry)
    this._updateBalancer()
  }

  /** Stops an entry gracefully and restarts it `downMs` after its exit. */
  async stop (entry: EntryProcess, downMs: number): Promise<void> {
    await this.beforeStop(entry)
    this.remove(entry)
    if (!entry.isRunning) return await this.restore(entry)
    const stop: PlannedStop = { entry: entry.name, fromMs: Date.now(), exitedAtMs: Infinity, exitCode: null }
    this.stops.push(stop)
    await this._environment.cluster.updateMember(entry.name, { state: 'leaving' })
    const { isReady } = entry
    stop.exitCode = await entry.terminate()
    stop.isBeforeReady = !isReady && entry.signalCode === 'SIGTERM'
    stop.exitedAtMs = Date.now()
    await sleep(downMs)
    await this.restore(entry)
  }

  /** Starts an entry unless it is running, and makes it available again once it is ready. */
  async restore (entry: EntryProcess): Promise<void> {
    const restoration = this._restorations.get(entry) ?? this._start(entry)
    this._restorations.set(entry, restoration)
    await restoration
    this._restorations.delete(entry)
  }

  private async _start (entry: EntryProcess): Promise<void> {
    await waitUntil(`${entry.name} starts`, async () => {
      // A kill during the start fails this attempt; the next poll restarts the entry.
      if (!entry.isRunning) await this._environment.cluster.restart(entry)
      return await entry.fetchReadinessStatus() === 200
    }, 120_000)
    this._unavailable.delete(entry)
    this._updateBalancer()
  }

  private _updateBalancer (): void {
    const targets = this.available.map(entry => entry.listen)
    // If an update fails, the balancer keeps its previous targets until the next update replaces them.
    this._environment.balancer.put('/targets', { targets }).catch(() => {})
  }
}
