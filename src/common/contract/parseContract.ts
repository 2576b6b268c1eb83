import { err, ok, type Result } from 'neverthrow'
import type { Contract } from '../schema/Contract.js'
import { contractSchema } from '../schema/contractSchema.js'
import type { IniError } from '../settings/IniError.js'
import { IniLineIndex } from '../settings/IniLineIndex.js'
import { readIni } from '../settings/readIni.js'

// A snapshot of the newest revisions must fit one append.
const MAX_TEXT_LENGTH = 65_536

/** Reads the text of an organisation's contract by the rules that all entries apply to records alike. */
export function parseContract (organisation: string, text: string): Result<Contract, IniError[]> {
  if (text.length > MAX_TEXT_LENGTH) {
    return err([{ line: 1, field: 'contract', rule: `must have at most ${MAX_TEXT_LENGTH} characters` }])
  }
  return readIni(text, contractSchema).andThen(contract => {
    if (contract.contract.organisation === organisation) return ok(contract)
    const line = new IniLineIndex(text).findLine(['contract', 'organisation'])
    return err([{ line, field: 'contract.organisation', rule: `must be ${organisation}, the organisation it is published for` }])
  })
}
