import { readFileSync } from 'node:fs'
import { CliError } from './CliError.js'

/** Reads a file given on the command line or in the settings. Throws a CliError when it cannot be read. */
export function readInputFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new CliError(2, [`${path}: cannot be read: ${(error as Error).message}`])
  }
}
