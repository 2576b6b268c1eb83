import { setTimeout as sleep } from 'node:timers/promises'
import type { FaultRecord } from '../checker/FaultRecord.js'
import type { LeavingMark } from '../checker/LeavingMark.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { waitUntil } from '../../tools/harness/waitUntil.js'
import type { EntryPool } from './EntryPool.js'
import { faultKinds } from './faultKinds.js'
import type { PlannedFault } from './PlannedFault.js'
import type { ChaosEnvironment } from './ChaosEnvironment.js'

/** Injects the faults of a schedule, records their times and removes them. */
export class FaultInjector {
  readonly faults: FaultRecord[] = []
  readonly marks: LeavingMark[] = []
  /** Active faults by target. A post replaces the previous fields of the target, so all its active faults are posted together. */
  private readonly _activeFaults = new Map<string, Set<PlannedFault>>()
  private _incarnationCount = 0

  constructor (private readonly _environment: ChaosEnvironment, private readonly _pool: EntryPool) {}

  /** Injects all faults of the schedule; resolves when every fault is removed and every target has recovered. */
  async run (schedule: PlannedFault[]): Promise<void> {
    const startMs = performance.now()
    await Promise.all(schedule.map(async fault => {
      await sleep(Math.max(0, startMs + fault.atMs - performance.now()))
      await this._inject(fault)
    }))
  }

  private async _inject (fault: PlannedFault): Promise<void> {
    const record = { kind: fault.kind, target: fault.target, fromMs: Date.now(), toMs: Infinity }
    this.faults.push(record)
    switch (fault.kind) {
      case 'entry_kill': await this._kill(this._environment.cluster.entry(fault.target), fault.activeMs); break
      case 'entry_pause': await this._pause(this._environment.cluster.entry(fault.target), fault.activeMs); break
      case 'entry_stop': await this._pool.stop(this._environment.cluster.entry(fault.target), fault.activeMs); break
      case 'entry_hup': this._environment.cluster.entry(fault.target).signal('SIGHUP'); break
      case 'entry_clock_ahead':
      case 'entry_clock_back': await this._stepClock(fault); break
      case 'upstream_leaving': await this._markLeaving(fault.target, fault.activeMs); break
      default: await this._injectFields(fault)
    }
    record.toMs = Date.now()
  }

  private async _kill (entry: EntryProcess, downMs: number): Promise<void> {
    this._pool.remove(entry)
    await entry.kill()
    await sleep(downMs)
    await this._pool.restore(entry)
  }

  private async _pause (entry: EntryProcess, pauseMs: number): Promise<void> {
    entry.pause()
    await sleep(pauseMs)
    entry.resume()
  }

  private async _stepClock ({ kind, target, activeMs }: PlannedFault): Promise<void> {
    const entry = this._environment.cluster.entry(target)
    entry.stepClock((faultKinds[kind] as { stepMs: number }).stepMs)
    await sleep(activeMs)
    entry.stepClock(0)
  }

  private async _markLeaving (id: string, leavingMs: number): Promise<void> {
    const mark = { upstream: id, fromMs: Date.now(), toMs: Infinity }
    this.marks.push(mark)
    await this._environment.cluster.updateMember(id, { state: 'leaving' })
    await sleep(leavingMs)
    // From this point on, entries may treat the upstream as live again.
    mark.toMs = Date.now()
    // Another active mark of the same upstream keeps it leaving.
    if (this.marks.some(other => other.upstream === id && other.toMs === Infinity)) return
    await this._environment.cluster.updateMember(id, { state: 'live', incarnation: `${id}-back-${++this._incarnationCount}` })
  }

  private async _injectFields (fault: PlannedFault): Promise<void> {
    const faults = this._activeFaults.get(fault.target) ?? new Set()
    this._activeFaults.set(fault.target, faults)
    faults.add(fault)
    await this._postFields(fault.target, faults)
    await sleep(fault.activeMs)
    faults.delete(fault)
    await this._postFields(fault.target, faults)
  }

  /** Posts the combined fault fields. Retries until the target accepts them, because a crashed target is down until its restart. */
  private async _postFields (target: string, faults: Set<PlannedFault>): Promise<void> {
    await waitUntil(`faults of ${target}`, async () => {
      const fields = [...faults].map(({ kind }) => (faultKinds[kind] as { fields?: object }).fields)
      await this._environment.setFaults(target, Object.assign({}, ...fields))
      return true
    })
    // The crash is posted only once; otherwise it would crash the restarted engine again.
    for (const fault of faults) if (fault.kind === 'engine_crash') faults.delete(fault)
  }
}
