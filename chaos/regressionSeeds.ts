import type { SoakOptions } from './SoakOptions.js'

interface RegressionSeed extends Omit<SoakOptions, 'processes'> {
  /** What the seed found. */
  cause: string
}

/** Seeds that failed once; `npm run soak -- --regressions` runs them all. */
export const regressionSeeds: RegressionSeed[] = [
  { seed: 1, seconds: 20, poisonCount: 1, cause: 'requests beside a poison request stayed blocked and their trainer did not go on' },
  { seed: 2, seconds: 10, poisonCount: 1, cause: 'SIGTERM killed an entry that started, once while its modules loaded; a probe missed its deadline on a busy host' },
  { seed: 11, seconds: 20, poisonCount: 1, cause: 'the fault proxy passed data on behind data that it had discarded' },
  { seed: 12, seconds: 20, poisonCount: 1, cause: 'a repeated SIGTERM ended a drain' },
  { seed: 13, seconds: 20, poisonCount: 1, cause: 'the driver took back the first mark of a doubled upstream_leaving early' },
  { seed: 83091, seconds: 20, poisonCount: 1, cause: 'SIGTERM during the start; requests cut in a drain beside a load of about 30' }
]
