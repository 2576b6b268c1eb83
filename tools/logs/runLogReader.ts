import { cac } from 'cac'
import { CliError } from '../../src/node/cli/CliError.js'
import { collectFiles } from './collectFiles.js'
import { EventCollector } from './EventCollector.js'
import type { LogReaderIo } from './LogReaderIo.js'
import { readSubject } from './readSubject.js'
import { Timeline } from './Timeline.js'

/** Runs the log reader and returns its exit code: 0, 1 if no line is about the id, 2 for invalid input. */
export async function runLogReader (argv: string[], io: LogReaderIo): Promise<number> {
  const cli = cac('logs')
  let isFound = true
  cli.command('[...files]', 'Show the life of a batch, request or item from log files or standard input')
    .option('--batch <id>', 'Batch to show')
    .option('--request <id>', 'Request to show')
    .option('--item <id>', 'Item to show')
    .example('  logs --batch c5583351500248a6 entry-1.log entry-2.log')
    .action(async (files: string[]) => { isFound = await showLife(argv, files, io) })
  cli.help()
  try {
    cli.parse(argv, { run: false })
    await cli.runMatchedCommand()
    return isFound ? 0 : 1
  } catch (error) {
    const isUsageError = error instanceof Error && error.name === 'CACError'
    if (!isUsageError && !(error instanceof CliError)) throw error
    for (const line of error instanceof CliError ? error.lines : [error.message]) io.err(line)
    return error instanceof CliError ? error.exitCode : 2
  }
}

async function showLife (argv: readonly string[], files: readonly string[], io: LogReaderIo): Promise<boolean> {
  const subject = readSubject(argv)
  const collector = new EventCollector(subject)
  await collectFiles(files.map(String), collector, io.stdin)
  if (collector.matches.size === 0) {
    io.err(`no log line is about ${subject.kind} ${subject.id}`)
    return false
  }
  for (const line of new Timeline(subject, collector).format()) io.out(line)
  return true
}
