import type { IniError } from '../../common/settings/IniError.js'

/** Formats errors as `file:line: field: rule`. For a value set by a flag or variable, its name replaces `file:line`. */
export function formatIniErrors (file: string, errors: readonly IniError[]): string[] {
  return errors.map(error => `${error.source ?? `${file}:${error.line}`}: ${error.field}: ${error.rule}`)
}
