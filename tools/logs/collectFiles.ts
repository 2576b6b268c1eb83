import { createReadStream } from 'node:fs'
import { CliError } from '../../src/node/cli/CliError.js'
import type { EventCollector } from './EventCollector.js'
import type { LogReaderIo } from './LogReaderIo.js'
import { readLines } from './readLines.js'

const STANDARD_INPUT = '-'

/** Reads all files one after another; `-` and an empty list stand for standard input. Throws a CliError if one cannot be read. */
export async function collectFiles (files: readonly string[], collector: EventCollector, stdin: LogReaderIo['stdin']): Promise<void> {
  if (files.length === 0 && stdin.isTTY === true) throw new CliError(2, ['no file is given, and standard input is a terminal, see --help'])
  for (const file of files.length === 0 ? [STANDARD_INPUT] : files) {
    try {
      for await (const line of readLines(file === STANDARD_INPUT ? stdin : createReadStream(file))) collector.add(line)
    } catch (error) {
      throw new CliError(2, [`${file}: cannot be read: ${(error as Error).message}`])
    }
  }
}
