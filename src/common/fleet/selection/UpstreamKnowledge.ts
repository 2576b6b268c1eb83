import type { LoadReading } from '../LoadReading.js'
import type { LoadAverages } from './LoadAverages.js'

/** What this process knows of one upstream when it selects. Times are those of one monotonic clock. */
export interface UpstreamKnowledge {
  slots: number
  /** Requests of this process in flight at the upstream. */
  outstanding: number
  /** Moving average of the response time; undefined before the first. */
  averageMs?: number
  /** Last load reading and the time of its arrival; undefined before the first. */
  load?: LoadReading & { atMs: number }
  loadAverages: LoadAverages
  /** End of the exclusion after the last failure; 0 if there was none. */
  excludedUntilMs: number
}
