import { checkContract } from '../../common/contract/checkContract.js'
import { contractSchema } from '../../common/schema/contractSchema.js'
import { readIni } from '../../common/settings/readIni.js'
import { CliError } from './CliError.js'
import { formatIniErrors } from './formatIniErrors.js'
import { readInputFile } from './readInputFile.js'

/** Reads and validates a contract file. Throws a CliError that lists all errors. */
export function loadContract (file: string): { organisation: string, text: string } {
  const text = readInputFile(file)
  const result = readIni(text, contractSchema)
  if (result.isErr()) throw new CliError(2, formatIniErrors(file, result.error))
  const errors = checkContract(result.value, text)
  if (errors.length > 0) throw new CliError(2, formatIniErrors(file, errors))
  return { organisation: result.value.contract.organisation, text }
}
