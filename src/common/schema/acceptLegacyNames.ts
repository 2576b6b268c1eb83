const FORMER_NAMES = [['customer', 'organisation']] as const

/** Renames fields of contract files and log records that were written before the fields had their present names. */
export function acceptLegacyNames (value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value
  const renamed: Record<string, unknown> = { ...value }
  for (const [former, present] of FORMER_NAMES) {
    if (!(former in renamed) || present in renamed) continue
    renamed[present] = renamed[former]
    delete renamed[former]
  }
  return renamed
}
