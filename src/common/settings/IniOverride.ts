/** A value that takes precedence over the file, from a flag or an environment variable. */
export interface IniOverride {
  /** Section and key, for example `entry.listen`. */
  field: string
  value: string
  /** Flag or variable as the operator wrote it; named in faults. */
  source: string
}
