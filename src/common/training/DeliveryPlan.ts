import type { GroupState } from './step/GroupState.js'
import type { StaleSample } from './step/StaleSample.js'

/**
 * Next action of a read. `settle` records the cursor, which shows that reopened groups were received;
 * `place` and `hold` change positions; `expire` reopens stale samples before anything can be delivered.
 */
export type DeliveryPlan =
  | { kind: 'settle' }
  | { kind: 'place', groups: GroupState[] }
  | { kind: 'hold' }
  | { kind: 'expire', stale: StaleSample[] }
  | { kind: 'deliver', groups: GroupState[], cursor: number, stale: StaleSample[] }
  | { kind: 'wait' }
