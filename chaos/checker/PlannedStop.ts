/** A graceful stop (SIGTERM) of an entry. `exitCode` is null if a signal ended the process. */
export interface PlannedStop {
  entry: string
  fromMs: number
  exitedAtMs: number
  exitCode: number | null
  /** The signal ended the process itself, which had started and was not yet ready. */
  isBeforeReady?: boolean
}
