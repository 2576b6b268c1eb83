import { DigestTable } from '../digest/DigestTable.js'
import type { IDigest } from '../digest/IDigest.js'
import { Disposable } from '../kernel/Disposable.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IRouteTable } from '../routing/IRouteTable.js'
import type { OrganisationConfig } from '../routing/OrganisationConfig.js'
import type { RoutingConfig } from '../routing/RoutingConfig.js'
import type { Organisation } from './Organisation.js'

/** Finds organisations by API key; follows the configuration. */
export class OrganisationTable extends Disposable {
  private _organisationsByKey: DigestTable<Organisation>

  constructor (
    private readonly _routes: Pick<IRouteTable, 'config' | 'onChanged'>,
    private readonly _digest: IDigest,
    private readonly _logger: ILogger
  ) {
    super()
    this._organisationsByKey = this._build(_routes.config)
    this._register(_routes.onChanged(config => { this._organisationsByKey = this._build(config) }))
  }

  /** Whether this process has a configuration. */
  get isConfigured (): boolean {
    return this._routes.config !== undefined
  }

  /** Whether the configuration in force has organisations, so that callers need an API key. */
  get isEnabled (): boolean {
    return this._routes.config?.organisations !== undefined
  }

  /** Returns the organisation that holds the key. */
  find (apiKey: string): Organisation | undefined {
    // A request without a key must not match an entry of the configuration that was left empty.
    return apiKey === '' ? undefined : this._organisationsByKey.find(apiKey)
  }

  /** Priority of an organisation by its name; undefined without one of its own. */
  priorityOf (name: string): number | undefined {
    return this._routes.config?.organisations?.find(organisation => organisation.name === name)?.priority
  }

  private _build (config: RoutingConfig | undefined): DigestTable<Organisation> {
    // In order of name, so that a key of two organisations has the same one at all entries, however they are listed.
    const sorted = [...config?.organisations ?? []].sort((a, b) => a.name < b.name ? -1 : a.name > b.name ? 1 : 0)
    const holderByKey = new Map<string, string>()
    const entries: Array<[Uint8Array, Organisation]> = []
    for (const { name, apiKeys, priority } of sorted) {
      this._logUnusableKeys(name, apiKeys, holderByKey)
      const keyDigests = apiKeys.filter(key => key !== '').map(key => this._digest.sha256(key))
      const organisation: Organisation = { name, keyDigests, priority }
      entries.push(...keyDigests.map((digest): [Uint8Array, Organisation] => [digest, organisation]))
    }
    if (config?.organisations !== undefined) this._logger.info({ version: config.version, organisations: sorted.length, keys: entries.length }, 'organisations_applied')
    return new DigestTable(this._digest, entries)
  }

  private _logUnusableKeys (name: string, apiKeys: OrganisationConfig['apiKeys'], holderByKey: Map<string, string>): void {
    apiKeys.forEach((key, index) => {
      const holder = holderByKey.get(key)
      if (key === '') this._logger.error({ organisation: name, key_index: index }, 'api_key_empty')
      else if (holder === undefined) holderByKey.set(key, name)
      else if (holder !== name) this._logger.error({ organisation: name, key_index: index, used_for: holder }, 'api_key_of_two_organisations')
    })
  }
}
