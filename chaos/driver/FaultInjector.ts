import { setTimeout as sleep } from 'node:timers/promises'
import type { FaultRecord } from '../checker/FaultRecord.js'
import type { LeavingMark } from '../checker/LeavingMark.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { waitUntil } from '../../tools/harness/waitUntil.js'
import type { EntryPool } from './EntryPool.js'
import { faultKinds } from './faultKinds.js'
import type { PlannedFault } from './PlannedFault.js'
import type { Site } from './Site.js'

/** Injects the faults of a schedule, keeps their times and heals them. */
export class FaultInjector {
  readonly faults: FaultRecord[] = []
  readonly marks: LeavingMark[] = []
  /** Faults in force of each target, which has one fault set for all of them. */
  private readonly _inForce = new Map<string, Set<PlannedFault>>()
  private _marks = 0

  constructor (private readonly _site: Site, private readonly _pool: EntryPool) {}

  /** Runs the whole schedule; resolves when every fault is healed and every target is in order. */
  async run (schedule: PlannedFault[]): Promise<void> {
    const startMs = performance.now()
    await Promise.all(schedule.map(async fault => {
      await sleep(Math.max(0, startMs + fault.atMs - performance.now()))
      await this._hold(fault)
    }))
  }

  private async _hold (fault: PlannedFault): Promise<void> {
    const record = { kind: fault.kind, target: fault.target, fromMs: Date.now(), toMs: Infinity }
    this.faults.push(record)
    switch (fault.kind) {
      case 'entry_kill': await this._kill(this._site.cluster.entry(fault.target), fault.holdMs); break
      case 'entry_pause': await this._pause(this._site.cluster.entry(fault.target), fault.holdMs); break
      case 'entry_stop': await this._pool.stop(this._site.cluster.entry(fault.target), fault.holdMs); break
      case 'entry_hup': this._site.cluster.entry(fault.target).signal('SIGHUP'); break
      case 'entry_clock_ahead':
      case 'entry_clock_back': await this._stepClock(fault); break
      case 'upstream_leaving': await this._leave(fault.target, fault.holdMs); break
      default: await this._switch(fault)
    }
    record.toMs = Date.now()
  }

  private async _kill (entry: EntryProcess, holdMs: number): Promise<void> {
    this._pool.take(entry)
    await entry.kill()
    await sleep(holdMs)
    await this._pool.revive(entry)
  }

  private async _pause (entry: EntryProcess, holdMs: number): Promise<void> {
    entry.pause()
    await sleep(holdMs)
    entry.resume()
  }

  private async _stepClock ({ kind, target, holdMs }: PlannedFault): Promise<void> {
    const entry = this._site.cluster.entry(target)
    entry.stepClock((faultKinds[kind] as { stepMs: number }).stepMs)
    await sleep(holdMs)
    entry.stepClock(0)
  }

  private async _leave (id: string, holdMs: number): Promise<void> {
    const mark = { upstream: id, fromMs: Date.now(), toMs: Infinity }
    this.marks.push(mark)
    await this._site.cluster.updateMember(id, { state: 'leaving' })
    await sleep(holdMs)
    // From here on the upstream may be taken for live again.
    mark.toMs = Date.now()
    // A second mark of the same upstream keeps it leaving.
    if (this.marks.some(other => other.upstream === id && other.toMs === Infinity)) return
    await this._site.cluster.updateMember(id, { state: 'live', incarnation: `${id}-back-${++this._marks}` })
  }

  private async _switch (fault: PlannedFault): Promise<void> {
    const inForce = this._inForce.get(fault.target) ?? new Set()
    this._inForce.set(fault.target, inForce)
    inForce.add(fault)
    await this._apply(fault.target, inForce)
    await sleep(fault.holdMs)
    inForce.delete(fault)
    await this._apply(fault.target, inForce)
  }

  /** Repeats until the target accepts, because a crashed target is away for a moment. */
  private async _apply (target: string, inForce: Set<PlannedFault>): Promise<void> {
    await waitUntil(`faults of ${target}`, async () => {
      const fields = [...inForce].map(({ kind }) => (faultKinds[kind] as { fields?: object }).fields)
      await this._site.setFaults(target, Object.assign({}, ...fields))
      return true
    })
    // A restart of the target must not crash it again.
    for (const fault of inForce) if (fault.kind === 'engine_crash') inForce.delete(fault)
  }
}
