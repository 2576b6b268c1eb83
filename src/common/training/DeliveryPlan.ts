import type { GroupState } from './step/GroupState.js'
import type { StaleSample } from './step/StaleSample.js'

/**
 * Next action of a read. The kinds `ack`, `place`, `hold` and `expire` append records of that type before the
 * read is planned again:
 * - `ack` records the cursor, which shows that reopened groups were received at a former position.
 * - `place` gives a position to complete groups without one.
 * - `hold` ends the positions of all groups above the cursor, so that `place` gives them new ones. It is needed when the
 *   next cursor would also acknowledge a group that is not returned.
 * - `expire` reopens stale samples when no group can be delivered.
 *
 * `deliver` returns groups, and `wait` waits until the state of the trainer changes.
 */
export type DeliveryPlan =
  | { kind: 'ack' }
  | { kind: 'place', groups: GroupState[] }
  | { kind: 'hold' }
  | { kind: 'expire', stale: StaleSample[] }
  | { kind: 'deliver', groups: GroupState[], cursor: number, stale: StaleSample[] }
  | { kind: 'wait' }
