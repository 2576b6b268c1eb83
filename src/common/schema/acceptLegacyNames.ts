const LEGACY_NAMES = [['customer', 'organisation']] as const

/** Renames fields of contract files and log records that were written under earlier field names. */
export function acceptLegacyNames (value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value
  const renamed: Record<string, unknown> = { ...value }
  for (const [legacy, current] of LEGACY_NAMES) {
    if (!(legacy in renamed) || current in renamed) continue
    renamed[current] = renamed[legacy]
    delete renamed[legacy]
  }
  return renamed
}
