import { cac, type CAC } from 'cac'
import { createServiceRegistration } from '../entry/createServiceRegistration.js'
import { overridableFields } from '../../common/settings/overridableFields.js'
import { traceLogLines } from '../../common/metrics/traceLogLines.js'
import { AdminClient } from './AdminClient.js'
import { CliError } from './CliError.js'
import type { CliIo } from './CliIo.js'
import { toFlag } from './toFlag.js'
import { loadSettings } from './loadSettings.js'
import { readInputFile } from './readInputFile.js'
import { runContractCommand } from './runContractCommand.js'
import { runEntryCommand } from './runEntryCommand.js'

type Options = Record<string, unknown>

// As a flag, the key would be visible in the process list.
const FIELDS_WITHOUT_FLAG = ['entry.peer_key']

/** Runs the `hyssopvalve` command and returns its exit code: 0, 1 for failures, 2 for invalid input. */
export async function runCli (argv: string[], version: string, io: CliIo): Promise<number> {
  const cli = cac('hyssopvalve')
  let exitCode = 0
  addEntryCommand(cli, io, code => { exitCode = code })
  addAdminCommands(cli, io)
  cli.version(version)
  cli.help()
  addExamples(cli)
  try {
    const { args, options } = cli.parse(argv, { run: false })
    if (options['help'] === true || options['version'] === true) return 0
    if (cli.matchedCommand === undefined) {
      throw new CliError(2, [args[0] === undefined ? 'a command is missing, see --help' : `unknown command ${args[0]}, see --help`])
    }
    await cli.runMatchedCommand()
    return exitCode
  } catch (error) {
    const isUsageError = error instanceof Error && error.name === 'CACError'
    if (!isUsageError && !(error instanceof CliError)) throw error
    for (const line of error instanceof CliError ? error.lines : [error.message]) io.err(line)
    return error instanceof CliError ? error.exitCode : 2
  }
}

function addEntryCommand (cli: CAC, io: CliIo, setExitCode: (code: number) => void): void {
  const command = cli.command('entry', 'Run an entry daemon')
    .option('--config <file>', 'Settings file (INI)')
    .option('--log-level <level>', 'debug, info, warn or error', { default: 'info' })
    .example('  hyssopvalve entry --config /etc/hyssopvalve/entry.ini')
    .example('  HYSSOPVALVE_ENTRY_LISTEN=10.0.0.7:8080 hyssopvalve entry --config entry.ini --timing-lease-ms 8000')
  for (const field of overridableFields) {
    if (!FIELDS_WITHOUT_FLAG.includes(field)) command.option(`${toFlag(field)} <value>`, `Overrides ${field}`)
  }
  command.action(async (options: Options) => {
    const logLevel = String(options['logLevel'])
    if (!['debug', 'info', 'warn', 'error'].includes(logLevel)) throw new CliError(2, ['--log-level: must be debug, info, warn or error'])
    if (options['config'] === undefined) throw new CliError(2, ['--config: is missing'])
    setExitCode(await runEntryCommand(loadSettings(String(options['config']), options, io), logLevel, io, await createServiceRegistration()))
  })
}

function addAdminCommands (cli: CAC, io: CliIo): void {
  cli.option('--admin <ip:port>', 'Address of an entry, or HYSSOPVALVE_ADMIN')
  cli.option('--token <token>', 'Operator token; prefer HYSSOPVALVE_TOKEN')
  cli.command('contract <action> <target>', 'check FILE, publish FILE, show ORGANISATION, diff ORGANISATION or history ORGANISATION')
    .option('--base-revision <number>', 'Revision that was edited; 0 for a first contract')
    .option('--revision <number>', 'Revision to compare with the one before it')
    .example('  hyssopvalve contract check lin-shun.ini')
    .example('  hyssopvalve contract publish lin-shun.ini --base-revision 4 --admin 10.0.0.7:8080')
    .example('  hyssopvalve contract diff lin-shun --revision 5')
    .action(async (action: string, target: string, options: Options) =>
      await runContractCommand(action, String(target), options, () => createAdminClient(options, io), io))
  cli.command('trace <id> <...files>', 'Show the log lines of all processes about a request, batch or item')
    .example('  hyssopvalve trace 9c41d07be2a35f68 entry-1.log entry-2.log')
    .action((id: string, files: string[]) => {
      const lines = traceLogLines(files.flatMap(file => readInputFile(file).split('\n')), String(id))
      if (lines.length === 0) throw new CliError(1, [`no log line mentions ${id}`])
      for (const line of lines) io.out(line)
    })
  cli.command('status', 'Show the state of an entry').action(async (options: Options) => {
    io.out(JSON.stringify(await createAdminClient(options, io).call('GET', '/status'), undefined, 2))
  })
  cli.command('audit', 'Show who changed which contract, one JSON object per line').action(async (options: Options) => {
    for (const event of (await createAdminClient(options, io).call('GET', '/audit')).events) io.out(JSON.stringify(event))
  })
}

function addExamples (cli: CAC): void {
  cli.example('  hyssopvalve entry --config entry.ini')
  cli.example('  hyssopvalve contract check lin-shun.ini')
  cli.example('  hyssopvalve contract publish lin-shun.ini --base-revision 4')
  cli.example('  hyssopvalve status --admin 10.0.0.7:8080')
}

function createAdminClient (options: Options, io: CliIo): AdminClient {
  const address = options['admin'] ?? io.env['HYSSOPVALVE_ADMIN']
  const token = options['token'] ?? io.env['HYSSOPVALVE_TOKEN']
  if (address === undefined) throw new CliError(2, ['--admin or HYSSOPVALVE_ADMIN: is missing'])
  if (token === undefined || token === '') throw new CliError(2, ['--token or HYSSOPVALVE_TOKEN: is missing'])
  // The argument parser turns digits into numbers, which loses leading zeros and long values.
  if (typeof token === 'number') throw new CliError(2, ['--token: a token of digits must be given by HYSSOPVALVE_TOKEN'])
  return new AdminClient(String(address), String(token))
}
