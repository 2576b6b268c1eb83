import { err, ok, type Result } from 'neverthrow'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { readEntrySettings } from '../../common/settings/readEntrySettings.js'
import { CliError } from './CliError.js'
import type { CliIo } from './CliIo.js'
import { formatIniErrors } from './formatIniErrors.js'
import { readInputFile } from './readInputFile.js'
import { readOverrides } from './readOverrides.js'

/** Loads the settings of the entry from file, flags and environment. Throws a CliError that lists all errors. */
export function loadSettings (file: string, options: Record<string, unknown>, io: CliIo): EntrySettings {
  const result = readEntrySettings(readInputFile(file), { overrides: readOverrides(options, io.env), readKeyFile })
  if (result.isErr()) throw new CliError(2, formatIniErrors(file, result.error))
  return result.value
}

function readKeyFile (path: string): Result<string, string> {
  try {
    return ok(readInputFile(path))
  } catch (error) {
    return err((error as Error).message)
  }
}
