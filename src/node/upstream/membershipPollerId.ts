import { createServiceId } from '../../common/kernel/createServiceId.js'
import type { MembershipPoller } from './MembershipPoller.js'

/** Identifier of the membership poller. */
export const membershipPollerId = createServiceId<MembershipPoller>('membershipPoller')
