const SECOND_MS = 1000

/** Counts the times in each second, from 0 to the last one, for a line over time in seconds. */
export function countPerSecond (timesMs: readonly number[]): Array<[number, number]> {
  const seconds = timesMs.map(time => Math.floor(time / SECOND_MS))
  const end = Math.max(-1, ...seconds)
  return Array.from({ length: end + 1 }, (_, second) => [second, seconds.filter(item => item === second).length])
}
