const FAILED_READ_EVENTS = new Set(['batch_not_served', 'batch_texts_not_loaded', 'leader_not_reached', 'leader_hop_failed'])

/** Whether an event says that a read failed, at the leader or on the way to it. */
export function isFailedRead (name: string): boolean {
  return FAILED_READ_EVENTS.has(name)
}
