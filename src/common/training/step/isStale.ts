import type { OriginRange } from '../../schema/OriginRange.js'
import { oldestVersion } from './oldestVersion.js'

/** True when the oldest version of the ranges is more than `stalenessBound` versions behind `newestVersion`. */
export function isStale (origin: readonly OriginRange[], newestVersion: number, stalenessBound: number): boolean {
  const oldest = oldestVersion(origin)
  return oldest !== undefined && newestVersion - oldest > stalenessBound
}
