import { setTimeout as sleep } from 'node:timers/promises'
import type { PlannedStop } from '../checker/PlannedStop.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { waitUntil } from '../../tools/harness/waitUntil.js'
import type { Site } from './Site.js'

/** Which entries callers may choose, and their replacement. The balancer's targets follow. */
export class EntryPool {
  readonly stops: PlannedStop[] = []
  /** Called before each stop, so that calls are in flight when it begins. */
  beforeStop: (entry: EntryProcess) => Promise<void> = async () => {}
  private readonly _away = new Set<EntryProcess>()
  private readonly _revivals = new Map<EntryProcess, Promise<void>>()

  constructor (private readonly _site: Site) {}

  get open (): EntryProcess[] {
    return this._site.cluster.entries.filter(entry => !this._away.has(entry))
  }

  /** Takes an entry from the callers and, after its lag, from the balancer. */
  take (entry: EntryProcess): void {
    this._away.add(entry)
    this._tellBalancer()
  }

  /** Graceful stop and replacement. */
  async stop (entry: EntryProcess, holdMs: number): Promise<void> {
    await this.beforeStop(entry)
    this.take(entry)
    if (!entry.isRunning) return await this.revive(entry)
    const stop: PlannedStop = { entry: entry.name, fromMs: Date.now(), exitedAtMs: Infinity, exitCode: null }
    this.stops.push(stop)
    await this._site.cluster.updateMember(entry.name, { state: 'leaving' })
    stop.exitCode = await entry.terminate()
    stop.exitedAtMs = Date.now()
    await sleep(holdMs)
    await this.revive(entry)
  }

  /** Starts an entry again unless it runs, and gives it back when it is ready. */
  async revive (entry: EntryProcess): Promise<void> {
    const revival = this._revivals.get(entry) ?? this._start(entry)
    this._revivals.set(entry, revival)
    await revival
    this._revivals.delete(entry)
  }

  private async _start (entry: EntryProcess): Promise<void> {
    await waitUntil(`${entry.name} starts`, async () => {
      // A kill during the start ends this try.
      if (!entry.isRunning) await this._site.cluster.restart(entry)
      return await entry.fetchReadinessStatus() === 200
    }, 120_000)
    this._away.delete(entry)
    this._tellBalancer()
  }

  private _tellBalancer (): void {
    const targets = this.open.map(entry => entry.listen)
    // The balancer keeps its last targets when it misses an update, which the next one replaces.
    this._site.balancer.put('/targets', { targets }).catch(() => {})
  }
}
