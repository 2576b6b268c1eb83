import { describe, it } from 'node:test'
import { expect } from 'earl'
import { formatResult } from './formatResult.js'
import { MIN_PROCESSES } from './driver/MIN_PROCESSES.js'
import { runChaos } from './runChaos.js'

// Only ends a run that would otherwise never end.
const TIMEOUT_MS = 110_000
const SECONDS = 10

describe('chaos', { timeout: TIMEOUT_MS }, () => {
  for (const seed of [1, 2]) {
    it(`keeps the invariants under the faults of seed ${seed}`, async () => {
      const result = await runChaos({ seed, seconds: SECONDS, poisonCount: 1, processes: MIN_PROCESSES })
      expect(result.history.calls.length).toBeGreaterThan(100)
      // Compares the whole report, so that a failure prints the records and the log folder.
      const report = formatResult(seed, result)
      expect(report).toEqual(expect.regex(/^chaos: seed=\d+ requests=\d+ faults=\d+ violations=0$/))
    })
  }
})
