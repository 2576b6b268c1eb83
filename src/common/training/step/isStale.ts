import type { OriginRange } from '../../schema/OriginRange.js'
import { oldestVersion } from './oldestVersion.js'

/** True when the oldest version of the ranges is more than `bound` versions behind `newest`. */
export function isStale (origin: readonly OriginRange[], newest: number, bound: number): boolean {
  const oldest = oldestVersion(origin)
  return oldest !== undefined && newest - oldest > bound
}
