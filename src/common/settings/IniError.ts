/** An error in an INI file, with its location and the violated rule. */
export interface IniError {
  /** Line of the error, counted from 1. */
  line: number
  /** Section and key, for example `work.lookup.deadline_ms`. */
  field: string
  rule: string
  /** Flag or environment variable that set the value; absent for values from the file. */
  source?: string
}
