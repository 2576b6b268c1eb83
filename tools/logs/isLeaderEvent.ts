const LEADER_EVENTS = new Set(['leader_changed', 'leadership_lost', 'batches_restored', 'batches_not_restored'])

/** Whether an event is about the leader, not about a batch. */
export function isLeaderEvent (name: string): boolean {
  return LEADER_EVENTS.has(name)
}
