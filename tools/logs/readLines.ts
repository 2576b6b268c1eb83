import type { Readable } from 'node:stream'
import split from 'split2'

// A log line is far shorter; the limit bounds the memory for files that are not logs.
const MAX_LINE_CHARS = 1_000_000

/** Reads a stream line by line and leaves out lines that are too long for a log. Throws the errors of the stream. */
export function readLines (input: Readable): AsyncIterable<string> {
  const lines = split({ maxLength: MAX_LINE_CHARS, skipOverflow: true })
  input.once('error', error => lines.destroy(error))
  return input.pipe(lines)
}
