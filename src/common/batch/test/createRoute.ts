import type { Route } from '../../routing/Route.js'

/** Creates the batch route `/batches/` of `host.example`. */
export function createRoute (overrides: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'host.example',
    pathPrefix: '/batches/',
    kind: 'batch',
    services: [{ name: 'engines', weight: 1 }],
    maxAttempts: 2,
    timeoutMs: 1000,
    targetLatencyMs: 100,
    priority: 0,
    isResumable: true,
    batchDeadlineMs: 7500,
    batchRetentionMs: 40_000,
    isSingleVersion: false,
    ...overrides
  }
}
