import { checkContract as checkRules } from '../../common/contract/checkContract.js'
import { contractSchema } from '../../common/schema/contractSchema.js'
import { readIni } from '../../common/settings/readIni.js'
import { CliError } from './CliError.js'
import { formatIniErrors } from './formatIniErrors.js'
import { readInputFile } from './readInputFile.js'

/** Reads and checks a contract file; throws a CliFault with all faults. */
export function loadContract (file: string): { organisation: string, text: string } {
  const text = readInputFile(file)
  const result = readIni(text, contractSchema)
  if (result.isErr()) throw new CliError(2, formatIniErrors(file, result.error))
  const errors = checkRules(result.value, text)
  if (errors.length > 0) throw new CliError(2, formatIniErrors(file, errors))
  return { organisation: result.value.contract.organisation, text }
}
