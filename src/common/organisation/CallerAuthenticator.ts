import { err, ok, type Result } from 'neverthrow'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { Organisation } from './Organisation.js'

/** Minimum time between two lines about rejections of one route for one reason, since unknown callers cause them. */
const LOG_INTERVAL_MS = 1000

type KeyError = 'unknown_key' | 'config_stale'

/** `config_missing` and `key_missing` tell operators more than the errors of which they are kinds. */
type RejectionReason = KeyError | 'config_missing' | 'key_missing'

interface IOrganisations {
  readonly isConfigured: boolean
  readonly isEnabled: boolean
  find (apiKey: string): Organisation | undefined
}

/** Authenticates callers by API key. Keys are never logged and no part of a metric. */
export class CallerAuthenticator {
  private readonly _rejections = new Map<string, { loggedAtMs: number, unlogged: number }>()

  constructor (
    private readonly _organisations: IOrganisations,
    private readonly _freshness: { isFresh (): boolean },
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {}

  /**
   * Returns the organisation that holds the key; undefined on public routes and where callers need no key. An error
   * `config_stale` says nothing about the key: it also stands for a process without any configuration. `route` is
   * the route's name, for logs and metrics.
   */
  authenticate (apiKey: string | undefined, isPublic: boolean, route = ''): Result<Organisation | undefined, KeyError> {
    if (!this._organisations.isConfigured) return this._reject('config_stale', 'config_missing', route)
    if (isPublic || !this._organisations.isEnabled) return ok(undefined)
    // A key that this configuration lacks may be in a newer one, so its age is checked before the key.
    if (!this._freshness.isFresh()) return this._reject('config_stale', 'config_stale', route)
    if (apiKey === undefined || apiKey === '') return this._reject('unknown_key', 'key_missing', route)
    const organisation = this._organisations.find(apiKey)
    return organisation === undefined ? this._reject('unknown_key', 'unknown_key', route) : ok(organisation)
  }

  private _reject (error: KeyError, reason: RejectionReason, route: string): Result<never, KeyError> {
    this._metrics.count('keys_refused', { route, reason })
    const key = `${reason} ${route}`
    const rejections = this._rejections.get(key) ?? { loggedAtMs: Number.NEGATIVE_INFINITY, unlogged: 0 }
    this._rejections.set(key, rejections)
    rejections.unlogged += 1
    if (performance.now() - rejections.loggedAtMs >= LOG_INTERVAL_MS) {
      this._logger.warn({ route, reason, refused: rejections.unlogged }, 'key_refused')
      rejections.loggedAtMs = performance.now()
      rejections.unlogged = 0
    }
    return err(error)
  }
}
