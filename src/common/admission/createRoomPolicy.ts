import type { ServiceSettings } from '../settings/ServiceSettings.js'
import { hasRoom } from './hasRoom.js'
import type { IRoomPolicy } from './IRoomPolicy.js'

/** The room policy of a service's `admission` setting. */
export function createRoomPolicy (admission: ServiceSettings['admission']): IRoomPolicy {
  return admission === 'bounded' ? { hasRoom } : { hasRoom: () => true }
}
