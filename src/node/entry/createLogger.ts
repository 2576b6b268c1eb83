import type { Writable } from 'node:stream'
import { pino } from 'pino'
import * as logfmtModule from 'pino-logfmt'
import type { LogFmtTransportOptions } from 'pino-logfmt'
import type { ILogger } from '../../common/metrics/ILogger.js'
import type { LoggerHandle } from './LoggerHandle.js'

type BuildStream = (options: LogFmtTransportOptions) => Promise<Writable>

// The package's type declarations lack the default export that its README documents as the transport target.
const buildLogfmt = (logfmtModule as unknown as { default: BuildStream }).default

const CLOSE_TIMEOUT_MS = 1000

/**
 * Opens the log of this process, which writes one logfmt (key=value) line per event. The formatting stream runs on
 * the main thread, because a worker thread costs about 10 MB per process. `destination` is a file descriptor or path.
 */
export async function createLogger (level: string, entry: string, destination: number | string = 2): Promise<LoggerHandle> {
  const stream = await buildLogfmt({ destination, includeLevelLabel: true, levelLabelKey: 'severity', formatTime: true, escapeMultilineStrings: true, flattenNestedObjects: true })
  const base = pino({ level, base: { entry }, messageKey: 'event' }, stream)
  const logger: ILogger = {
    debug: (fields, event) => base.debug(fields, event),
    info: (fields, event) => base.info(fields, event),
    warn: (fields, event) => base.warn(fields, event),
    error: (fields, event) => base.error(fields, event)
  }
  return { logger, backlogBytes: () => stream.writableLength, close: async () => await closeStream(stream) }
}

async function closeStream (stream: Writable): Promise<void> {
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, CLOSE_TIMEOUT_MS)
    stream.once('close', () => { clearTimeout(timer); resolve() })
    stream.end()
  })
}
