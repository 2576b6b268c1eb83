import { cac } from 'cac'
import { z } from 'zod'

const USAGE_EXIT_CODE = 2

/**
 * Parses the command line by a schema; the field `loadLagMs` is set by the flag `--load-lag-ms`.
 * If a flag is unknown or invalid, prints the errors and exits with code 2.
 */
export function readOptions<S extends z.ZodRawShape> (name: string, shape: S): z.output<z.ZodObject<S>> {
  const cli = cac(name)
  const command = cli.command('', `Emulated ${name}`)
  for (const key of Object.keys(shape)) command.option(`--${toFlag(key)} <value>`, key)
  command.action(() => {})
  cli.help()
  const { options } = cli.parse(process.argv, { run: false })
  if (options['help'] === true) process.exit(0)
  const { '--': _rest, ...given } = options
  const parsed = z.strictObject(shape).safeParse(given)
  if (parsed.success) return parsed.data as z.output<z.ZodObject<S>>
  console.error(`${name}: ${z.prettifyError(parsed.error)}`)
  process.exit(USAGE_EXIT_CODE)
}

function toFlag (key: string): string {
  return key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}
