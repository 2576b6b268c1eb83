import type { Incarnation } from './Incarnation.js'

/** Formats an incarnation as a part of a key. */
export function formatIncarnation ({ upstreamId, startedAtMs }: Incarnation): string {
  return `${startedAtMs}.${upstreamId}`
}
