import type { IniOverride } from '../../common/settings/IniOverride.js'
import { overridableFields } from '../../common/settings/overridableFields.js'
import { toFlag } from './toFlag.js'

const VARIABLE_PREFIX = 'HYSSOPVALVE_'

/** Reads settings from flags and environment variables; a flag takes precedence. */
export function readOverrides (options: Record<string, unknown>, env: Record<string, string | undefined>): IniOverride[] {
  const overrides: IniOverride[] = []
  for (const field of overridableFields) {
    const flag = toFlag(field)
    const variable = VARIABLE_PREFIX + field.replace('.', '_').toUpperCase()
    const fromFlag = options[toOptionName(flag)]
    const fromEnv = env[variable]
    if (fromFlag !== undefined) overrides.push({ field, value: String(fromFlag), source: flag })
    else if (fromEnv !== undefined && fromEnv !== '') overrides.push({ field, value: fromEnv, source: variable })
  }
  return overrides
}

function toOptionName (flag: string): string {
  return flag.slice(2).replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase())
}
