import type { BatchSpec } from '../record/BatchSpec.js'

/** Creates the parameters of a batch on the route `/batches/` of `host.example`. */
export function createSpec (overrides: Partial<BatchSpec> = {}): BatchSpec {
  return {
    id: 'batch-1', host: 'host.example', path: '/batches/x', model: 'model-a', step: 0, minVersion: 1, groupsWanted: 1, itemCount: 1, submittedAtMs: Date.now(), ...overrides
  }
}
