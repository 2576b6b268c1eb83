/** A fault that ends the command with its exit code: 2 for invalid input, 1 for everything else. */
export class CliError extends Error {
  constructor (readonly exitCode: 1 | 2, readonly lines: string[]) {
    super(lines.join('\n'))
  }
}
