import type { ILogger } from '../../common/metrics/ILogger.js'

/** A logger and the function that writes out what it still holds. */
export interface LoggerHandle {
  logger: ILogger
  /** Bytes that wait because the reader of the output is slow. */
  backlogBytes: () => number
  /** Resolves when everything is written, at most after a second. */
  close: () => Promise<void>
}
