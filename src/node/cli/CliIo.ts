/** Output streams and environment of a command, replaceable in tests. */
export interface CliIo {
  out: (line: string) => void
  err: (line: string) => void
  env: Record<string, string | undefined>
}
