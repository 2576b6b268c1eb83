import type { ScalingDemand } from './ScalingDemand.js'

/** Demand of a service over the last seconds, one sample for each call of `record`. */
export class DemandHistory {
  private readonly _samples: Array<{ atMs: number, demand: ScalingDemand }> = []
  private readonly _startedAtMs = performance.now()

  constructor (private readonly _lengthMs: number) {}

  record (demand: ScalingDemand): void {
    const nowMs = performance.now()
    this._samples.push({ atMs: nowMs, demand })
    const first = this._samples.findIndex(({ atMs }) => atMs >= nowMs - this._lengthMs)
    this._samples.splice(0, first)
  }

  /** Sample with the least waiting work of the last `forMs`; none waits while the history is shorter than that. */
  sustained (forMs: number): ScalingDemand {
    const nowMs = performance.now()
    if (nowMs - this._startedAtMs < forMs) return { running: 0, waiting: 0 }
    const recent = this._samples.filter(({ atMs }) => atMs >= nowMs - forMs).map(({ demand }) => demand)
    return recent.reduce((least, demand) => demand.waiting < least.waiting ? demand : least, recent[0] ?? { running: 0, waiting: 0 })
  }

  /** Highest demand in slots over the whole length; undefined until that time has passed. */
  peakSlots (): number | undefined {
    if (performance.now() - this._startedAtMs < this._lengthMs) return undefined
    return this._samples.reduce((peak, { demand }) => Math.max(peak, demand.running + demand.waiting), 0)
  }
}
