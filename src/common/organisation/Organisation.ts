/** An organisation whose callers present API keys. */
export interface Organisation {
  name: string
  /** SHA-256 digests of its keys. The keys themselves are kept in the configuration only. */
  keyDigests: readonly Uint8Array[]
  /** 0 is the highest; takes precedence over the priority of the route. Undefined without one of its own. */
  priority?: number
}
