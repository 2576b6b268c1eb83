/** A value from a flag or an environment variable, which takes precedence over the file. */
export interface IniOverride {
  /** Section and key, for example `entry.listen`. */
  field: string
  value: string
  /** Name of the flag or variable; reported in errors. */
  source: string
}
