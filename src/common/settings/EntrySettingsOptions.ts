import type { Result } from 'neverthrow'
import type { IniOverride } from './IniOverride.js'

/** What readEntrySettings needs besides the text. */
export interface EntrySettingsOptions {
  overrides?: readonly IniOverride[]
  /** Reads `peer_key_file`; its error text is reported as the broken rule. */
  readKeyFile?: (path: string) => Result<string, string>
}
