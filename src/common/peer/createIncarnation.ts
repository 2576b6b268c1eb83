const RANDOM_RANGE = 36 ** 3

/** Incarnation of a process that starts now: start time in base 36, then three random digits. */
export function createIncarnation (): string {
  const random = Math.floor(Math.random() * RANDOM_RANGE).toString(36).padStart(3, '0')
  return Date.now().toString(36).padStart(9, '0') + random
}
