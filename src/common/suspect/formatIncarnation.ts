import type { Incarnation } from './Incarnation.js'

/** Formats an incarnation as a part of a key. */
export function formatIncarnation ({ upstreamId, startedAtMs, restarts }: Incarnation): string {
  return `${startedAtMs}.${restarts}.${upstreamId}`
}
