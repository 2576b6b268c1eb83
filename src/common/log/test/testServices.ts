import type { ILogger } from '../../metrics/ILogger.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import type { EntrySettings } from '../../settings/EntrySettings.js'

/** Settings, logger and metrics for unit tests of the services that use the log. */
export function testServices (id = 'entry-a', overrides: Partial<EntrySettings> = {}) {
  const settings = {
    id, appendIntervalMs: 50, leaseMs: 3000, leaseGuardMs: 500, retentionMs: 60_000, ...overrides
  } as EntrySettings
  const logger: ILogger = { info () {}, warn () {}, error () {}, debug () {} }
  const metrics: IMetrics = { count () {}, gauge () {}, duration () {} }
  return { settings, logger, metrics }
}
