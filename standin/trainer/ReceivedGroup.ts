import type { z } from 'zod'
import type { groupsResponseSchema } from './groupsResponseSchema.js'

type Group = z.output<typeof groupsResponseSchema>['groups'][number]

/** A group as the trainer received it; duplicates are kept as well. */
export interface ReceivedGroup extends Group {
  /** Index of the read that returned the group, from 0. */
  read: number
  address: string
  received_at_ms: number
  /** Newest version that the trainer had published when it sent the read; the read states this version. */
  version_known: number
  cursor_before: number
  cursor_after: number
}
