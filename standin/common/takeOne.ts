/** Uses up one of a counted fault; false when none is left. */
export function takeOne<K extends string> (counters: Record<K, number>, name: K): boolean {
  if (counters[name] <= 0) return false
  counters[name]--
  return true
}
