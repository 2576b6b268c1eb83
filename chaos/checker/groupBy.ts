/** Groups items by key and keeps their order. Node.js 20 lacks `Map.groupBy`. */
export function groupBy<T> (items: T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) groups.set(keyOf(item), [...groups.get(keyOf(item)) ?? [], item])
  return groups
}
