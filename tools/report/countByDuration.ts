const BOUNDS_MS = [5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 750, 1000, 2000, 5000]

/** Counts durations by their upper bounds, for a histogram; empty bounds after the last duration are left out. */
export function countByDuration (durationsMs: readonly number[]): Array<[string, number]> {
  const counts = [...BOUNDS_MS, Infinity].map((bound, index): [string, number] => {
    const lower = BOUNDS_MS[index - 1] ?? 0
    const label = bound === Infinity ? `over ${lower}` : `${lower} to ${bound}`
    return [label, durationsMs.filter(duration => duration >= lower && duration < bound).length]
  })
  return counts.slice(0, counts.findLastIndex(([, count]) => count > 0) + 1)
}
