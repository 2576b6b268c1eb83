import type { ServiceSettings } from '../settings/ServiceSettings.js'
import { hasCapacity } from './hasCapacity.js'
import type { ICapacityPolicy } from './ICapacityPolicy.js'

/** Creates the capacity policy for a service's `admission` setting. */
export function createCapacityPolicy (admission: ServiceSettings['admission']): ICapacityPolicy {
  return admission === 'bounded' ? { hasCapacity } : { hasCapacity: () => true }
}
