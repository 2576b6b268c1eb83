import type { Readable } from 'node:stream'
import type { CliIo } from '../../src/node/cli/CliIo.js'

/** Streams of the log reader, replaceable in tests. */
export interface LogReaderIo extends Omit<CliIo, 'env'> {
  stdin: Readable & { isTTY?: boolean }
}
