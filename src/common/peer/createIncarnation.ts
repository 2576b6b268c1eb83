const RANDOM_RANGE = 36 ** 3

/** Creates the incarnation of a process that starts now: the start time and three random digits, both in base 36. */
export function createIncarnation (): string {
  const random = Math.floor(Math.random() * RANDOM_RANGE).toString(36).padStart(3, '0')
  return Date.now().toString(36).padStart(9, '0') + random
}
