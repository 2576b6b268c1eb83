/** Consumes one occurrence of a counted fault; false if none is left. */
export function consumeFault<K extends string> (remainingCounts: Record<K, number>, fault: K): boolean {
  if (remainingCounts[fault] <= 0) return false
  remainingCounts[fault]--
  return true
}
