import type { UpstreamKnowledge } from './UpstreamKnowledge.js'

/** Age beyond which the requests in a load reading are ignored, since it says little about the upstream by then. */
const LOAD_MAX_AGE_MS = 1500
/**
 * Age beyond which a slowdown reading is ignored. The slowdown changes many times per second, so a reading has lost
 * half of its effect by then.
 */
const SLOWDOWN_MAX_AGE_MS = 300

/** The part of a load reading that still counts at `nowMs`. */
interface AgedLoad {
  /** Requests of other processes; 0 if unknown or outdated. */
  outstandingFromOthers: number
  /** 1 if unknown or outdated. */
  slowdownFactor: number
}

/** Reads the last load reading with regard to its age. */
export function readAgedLoad ({ load, outstanding }: UpstreamKnowledge, nowMs: number): AgedLoad {
  const ageMs = load === undefined ? Number.POSITIVE_INFINITY : nowMs - load.atMs
  return {
    outstandingFromOthers: load === undefined || ageMs > LOAD_MAX_AGE_MS ? 0 : Math.max(0, load.running + load.waiting - outstanding),
    slowdownFactor: load === undefined || ageMs > SLOWDOWN_MAX_AGE_MS ? 1 : load.slowdownFactor
  }
}
