import type { IniError } from '../../common/settings/IniError.js'

/** Faults as `file:line: field: rule`, or with the flag or variable that set the value. */
export function formatIniErrors (file: string, errors: readonly IniError[]): string[] {
  return errors.map(error => `${error.source ?? `${file}:${error.line}`}: ${error.field}: ${error.rule}`)
}
