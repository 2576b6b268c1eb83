import { formatIncarnation } from './formatIncarnation.js'
import type { IncarnationJudge } from './IncarnationJudge.js'
import type { RunWithoutResponse } from './RunWithoutResponse.js'

/** After this time the end of an upstream is not attributed to a run that was abandoned there. */
const MAX_AGE_MS = 10_000
const MAX_RUNS = 1024

/**
 * Runs for which this entry stopped waiting. Most are sound and end by themselves, but an upstream that crashes without
 * closing its connections looks the same until it is missed in the upstream list.
 */
export class AbandonedRuns {
  private readonly _runs = new Map<string, RunWithoutResponse>()

  add (run: RunWithoutResponse): void {
    this._runs.set(`${run.fingerprint}/${formatIncarnation(run)}`, run)
    const [oldest] = this._runs.keys()
    if (this._runs.size > MAX_RUNS && oldest !== undefined) this._runs.delete(oldest)
  }

  get size (): number {
    return this._runs.size
  }

  /** Forgets the runs of a request that has completed. */
  remove (fingerprint: string): void {
    for (const [key, run] of this._runs) if (run.fingerprint === fingerprint) this._runs.delete(key)
  }

  /** Removes and returns the runs whose upstreams have ended, and forgets those at upstreams that proved to be alive. */
  takeCrashed (judge: IncarnationJudge): RunWithoutResponse[] {
    const crashed: RunWithoutResponse[] = []
    for (const [key, run] of this._runs) {
      const state = judge.judge(run, run.sinceMs)
      if (state === 'unknown' && performance.now() - run.sinceMs < MAX_AGE_MS) continue
      this._runs.delete(key)
      if (state === 'ended') crashed.push(run)
    }
    return crashed
  }
}
