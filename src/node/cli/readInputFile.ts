import { readFileSync } from 'node:fs'
import { CliError } from './CliError.js'

/** Reads a file that the operator named. */
export function readInputFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new CliError(2, [`${path}: cannot be read: ${(error as Error).message}`])
  }
}
