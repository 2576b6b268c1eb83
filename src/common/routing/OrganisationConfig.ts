/** An organisation of the configuration, with the API keys of its callers. */
export interface OrganisationConfig {
  name: string
  apiKeys: readonly string[]
  /** 0 is the highest; takes precedence over the priority of the route. */
  priority?: number
}
