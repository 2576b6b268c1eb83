import type { ServiceSettings } from '../settings/ServiceSettings.js'
import { hasCapacity } from './hasCapacity.js'
import type { ICapacityPolicy } from './ICapacityPolicy.js'

/** The room policy of a service's `admission` setting. */
export function createCapacityPolicy (admission: ServiceSettings['admission']): ICapacityPolicy {
  return admission === 'bounded' ? { hasCapacity: hasCapacity } : { hasCapacity: () => true }
}
