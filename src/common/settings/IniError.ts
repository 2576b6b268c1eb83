/** One fault of an INI file, with the place and the rule that it breaks. */
export interface IniError {
  /** Line of the fault, counted from 1. */
  line: number
  /** Section and key, for example `work.lookup.deadline_ms`. */
  field: string
  rule: string
  /** Flag or environment variable that set the value; absent for values of the file. */
  source?: string
}
