import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { createLogger } from '../entry/createLogger.js'
import { Entry } from '../entry/Entry.js'
import type { ServiceRegistration } from '../entry/ServiceRegistration.js'
import { CliError } from './CliError.js'
import type { CliIo } from './CliIo.js'
import { earlySignals } from './earlySignals.js'

/** Runs the entry daemon until a signal stops it and the drain has ended. Returns the exit code. */
export async function runEntryCommand (settings: EntrySettings, logLevel: string, io: CliIo, registerServices: ServiceRegistration): Promise<number> {
  const { logger, close } = await createLogger(logLevel, settings.id)
  // Handlers are installed before the start, because a signal without a handler terminates the process.
  const signal = waitForSignal()
  const onHangUp = (): void => logger.info({ signal: 'SIGHUP' }, 'settings_reload_ignored')
  process.on('SIGHUP', onHangUp)
  let entry: Entry | undefined
  try {
    entry = new Entry(settings, logger, registerServices)
    const address = await entry.start()
    logger.info({ address, failure_domain: settings.failureDomain }, 'entry_started')
    io.out(`ready ${address}`)
  } catch (error) {
    entry?.dispose()
    await close()
    throw new CliError(1, [`the entry cannot start: ${(error as Error).message}`])
  }
  logger.info({ signal: await signal }, 'signal_received')
  const isDrained = await entry.drain()
  entry.dispose()
  process.off('SIGHUP', onHangUp)
  await close()
  return isDrained ? 0 : 1
}

/**
 * Resolves at the first signal. From then on SIGINT exits immediately and SIGTERM is ignored, because a
 * supervisor that repeats its stop signal must not abort the requests in flight.
 */
async function waitForSignal (): Promise<string> {
  const signals = ['SIGTERM', 'SIGINT'] as const
  const firstSignal = await new Promise<string>(resolve => {
    for (const signal of signals) process.once(signal, resolve)
    const earlySignal = earlySignals.release()
    if (earlySignal !== undefined) resolve(earlySignal)
  })
  process.removeAllListeners('SIGTERM').on('SIGTERM', () => {})
  process.removeAllListeners('SIGINT').on('SIGINT', () => process.exit(1))
  return firstSignal
}
