import type { ServiceOptions } from '../tools/harness/ServiceOptions.js'

/** Settings of a service by the variant's name; `default` keeps the settings' defaults. */
export const policyOptions: Record<string, Partial<ServiceOptions>> = {
  default: {},
  random: { balancer: 'random' },
  'round-robin': { balancer: 'round-robin' },
  'least-outstanding': { balancer: 'least-outstanding' },
  unbounded: { admission: 'unbounded' },
  'no-hedging': { hedging: false },
  plain: { balancer: 'round-robin', admission: 'unbounded', hedging: false },
  listed: { swapOrder: 'listed' },
  'one-at-a-time': { swapParallel: 1 }
}
