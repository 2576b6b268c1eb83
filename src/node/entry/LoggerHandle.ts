import type { ILogger } from '../../common/metrics/ILogger.js'

/** A logger with access to its output buffer. */
export interface LoggerHandle {
  logger: ILogger
  /** Returns the bytes buffered because the reader of the output is slow. */
  backlogBytes: () => number
  /** Flushes the buffer and closes the output; resolves after one second at the latest. */
  close: () => Promise<void>
}
