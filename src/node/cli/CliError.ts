/** Error that ends the command with an exit code: 2 for invalid input, 1 for any other failure. */
export class CliError extends Error {
  constructor (readonly exitCode: 1 | 2, readonly lines: string[]) {
    super(lines.join('\n'))
  }
}
