import type { Result } from 'neverthrow'
import type { IniOverride } from './IniOverride.js'

/** Options of `readEntrySettings`. */
export interface EntrySettingsOptions {
  overrides?: readonly IniOverride[]
  /** Reads `peer_key_file`; its error text is reported as the violated rule. */
  readKeyFile?: (path: string) => Result<string, string>
}
