import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IConfigSource } from './IConfigSource.js'
import type { IRouteTable } from './IRouteTable.js'
import type { Route } from './Route.js'
import type { RoutingConfig } from './RoutingConfig.js'

/** Holds the newest configuration seen by this process; older ones are ignored. */
export class RouteTable extends Disposable implements IRouteTable {
  private readonly _onChanged = this._register(new Emitter<RoutingConfig>())
  readonly onChanged = this._onChanged.event
  private _config?: RoutingConfig
  private _source?: IConfigSource
  private _routesByHost = new Map<string, Route[]>()
  /** Hosts that have a batch route, or had one before: their batches outlive it. */
  private readonly _batchHosts = new Set<string>()

  constructor (private readonly _logger: ILogger) {
    super()
  }

  get config (): RoutingConfig | undefined {
    return this._config
  }

  get upToDateAtMs (): number {
    return this._config === undefined ? Number.NEGATIVE_INFINITY : this._source?.upToDateAtMs ?? Number.NEGATIVE_INFINITY
  }

  /** Sets where configurations are read; without it, none is known to be the newest one. */
  setSource (source: IConfigSource): void {
    this._source = source
  }

  /** Puts a configuration into force if it is newer; returns whether it did. */
  apply (config: RoutingConfig): boolean {
    if (this._config !== undefined && config.version <= this._config.version) {
      if (config.version < this._config.version) {
        this._logger.warn({ version: config.version, version_in_force: this._config.version }, 'config_ignored_as_older')
      }
      return false
    }
    const byHost = new Map<string, Route[]>()
    for (const route of config.routes) {
      const host = route.host.toLowerCase()
      byHost.set(host, [...byHost.get(host) ?? [], route])
      if (route.kind === 'batch') this._batchHosts.add(host)
    }
    // Longest prefix first, so that the first match is the longest one.
    for (const routes of byHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    this._logger.info({ version: config.version, version_before: this._config?.version, routes: config.routes.length }, 'config_applied')
    this._routesByHost = byHost
    this._config = config
    this._onChanged.fire(config)
    return true
  }

  find (host: string, path: string): Route | undefined {
    return this._routesByHost.get(normalizeHost(host))?.find(route => path.startsWith(route.pathPrefix))
  }

  findByName (name: string): Route | undefined {
    return this._config?.routes.find(route => route.name === name)
  }

  hasHadBatchRoute (host: string): boolean {
    return this._batchHosts.has(normalizeHost(host))
  }
}

function normalizeHost (host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}
