import type { OriginRange } from '../../schema/OriginRange.js'

/** Oldest version of weights or KV cache in the ranges; undefined without ranges. */
export function oldestVersion (origin: readonly OriginRange[]): number | undefined {
  if (origin.length === 0) return undefined
  return Math.min(...origin.map((range) => Math.min(range.version, range.kv_version)))
}
