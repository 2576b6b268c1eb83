import { formatIncarnation } from './formatIncarnation.js'
import type { Incarnation } from './Incarnation.js'

const CRASH_KEY = /^crash\/([0-9a-f]{16})\/(\d+)\.(\d+)\.(.+)$/s
const TRIAL_KEY = /^trial\/([0-9a-f]{16})$/

/** Keys of the records about suspects in the store. */
export const suspectKeys = {
  ofCrash: (fingerprint: string, incarnation: Incarnation): string => `crash/${fingerprint}/${formatIncarnation(incarnation)}`,
  ofTrial: (fingerprint: string): string => `trial/${fingerprint}`,
  parseCrash (key: string): { fingerprint: string, incarnation: Incarnation } | undefined {
    const [, fingerprint, startedAtMs, restarts, upstreamId] = CRASH_KEY.exec(key) ?? []
    if (fingerprint === undefined || upstreamId === undefined) return undefined
    return { fingerprint, incarnation: { upstreamId, startedAtMs: Number(startedAtMs), restarts: Number(restarts) } }
  },
  parseTrial: (key: string): string | undefined => TRIAL_KEY.exec(key)?.[1]
}
