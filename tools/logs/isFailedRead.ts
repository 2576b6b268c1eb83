const FAILED_READ_EVENTS = new Set(['batch_not_served', 'batch_not_read_from_store', 'leader_not_reached', 'leader_hop_failed'])

/** Whether an event reports a failed attempt to serve a read, at the leader, on the way to it or from the store. */
export function isFailedRead (name: string): boolean {
  return FAILED_READ_EVENTS.has(name)
}
