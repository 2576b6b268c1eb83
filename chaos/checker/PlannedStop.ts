/** A graceful stop of an entry; without an exit code the process did not end by itself. */
export interface PlannedStop {
  entry: string
  fromMs: number
  exitedAtMs: number
  exitCode: number | null
}
