import type { z } from 'zod'
import type { groupsResponseSchema } from './groupsResponseSchema.js'

type Group = z.output<typeof groupsResponseSchema>['groups'][number]

/** A group as the trainer received it, duplicates included. */
export interface ReceivedGroup extends Group {
  /** Number of the read, counted from 0. */
  read: number
  address: string
  received_at_ms: number
  /** Newest version that the trainer had published, which is also what its read stated. */
  version_known: number
  cursor_before: number
  cursor_after: number
}
