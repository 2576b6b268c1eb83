/**
 * Returns the value of an option as it was typed, the last one if it is repeated. The argument parser turns values
 * that look like numbers into numbers, which changes ids such as 0123456789012345 or 12e4567890123456.
 */
export function readTextOption (argv: readonly string[], name: string): string | undefined {
  const end = argv.indexOf('--')
  const options = end === -1 ? argv : argv.slice(0, end)
  const index = options.findLastIndex(argument => argument === `--${name}` || argument.startsWith(`--${name}=`))
  const argument = options[index]
  if (argument === undefined) return undefined
  return argument === `--${name}` ? options[index + 1] : argument.slice(`--${name}=`.length)
}
