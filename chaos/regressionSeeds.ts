import type { SoakOptions } from './SoakOptions.js'

interface RegressionSeed extends Omit<SoakOptions, 'processes'> {
  /** Cause of the failure that the seed found. */
  cause: string
}

/** Seeds that failed in earlier runs; `npm run soak -- --regressions` runs them all. */
export const regressionSeeds: RegressionSeed[] = [
  { seed: 1, seconds: 20, poisonCount: 1, cause: 'requests that ran beside a poison request stayed blocked, and their trainer made no progress' },
  { seed: 2, seconds: 10, poisonCount: 1, cause: 'SIGTERM killed an entry during its start, once while its modules were loading; a probe missed its deadline on a busy host' },
  { seed: 11, seconds: 20, poisonCount: 1, cause: 'the fault proxy forwarded data that followed data it had discarded' },
  { seed: 12, seconds: 20, poisonCount: 1, cause: 'a repeated SIGTERM aborted a drain' },
  { seed: 13, seconds: 20, poisonCount: 1, cause: 'the driver removed the first leaving mark of a repeated upstream_leaving fault too early' },
  { seed: 83091, seconds: 20, poisonCount: 1, cause: 'SIGTERM during the start; requests were cut during a drain under a load of about 30' }
]
