import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Cluster } from '../tools/harness/Cluster.js'
import { findSampleViolations } from '../tools/harness/findSampleViolations.js'
import { TrainerClient } from '../tools/harness/TrainerClient.js'
import { createTrainingContract } from '../tools/harness/createTrainingContract.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 60_000

describe('samples that cannot be generated', { timeout: TIMEOUT_MS }, () => {
  // Guards against a group that is never completed, for which its trainer would wait forever.
  it('delivers a prompt that crashes engines and an empty generation as failures within complete groups', async () => {
    const cluster = await Cluster.start({
      entries: 3,
      services: { 'shaping-llm': { kind: 'engine', count: 4 } },
      contracts: [createTrainingContract(1)]
    })
    const engines = [...cluster.upstreams.values()]
    const stopController = new AbortController()
    // Restarts crashed engines, as the platform does.
    const restartLoops = engines.map(async (engine) => {
      for (;;) {
        await waitUntil(`${engine.name} has ended`, () => stopController.signal.aborted || !engine.isRunning, TIMEOUT_MS)
        if (stopController.signal.aborted) return
        await cluster.restart(engine)
      }
    })
    try {
      const client = new TrainerClient()
      const [entry] = cluster.entries
      await client.submitStep(entry!, 1, [
        { group: 'poison', prompt: 'crash-engine', samples: 2 },
        { group: 'empty', prompt: 'len=0', samples: 2 },
        { group: 'good', prompt: 'len=20', samples: 2 }
      ])
      const groups: any[] = []
      let cursor = -1
      await waitUntil('the step is complete', async () => {
        const response = await client.readGroups(entry!, cursor, 0, 2000)
        groups.push(...response.groups.map((group) => ({ ...group, version_known: 0 })))
        cursor = response.cursor
        return groups.length >= 3
      })
      expect(findSampleViolations(groups, { stalenessBound: 1, samples: 2 })).toEqual([])
      const failures = Object.fromEntries(groups.map(({ group, samples }) => [group, samples.map((sample: any) => sample.failure)]))
      expect(failures).toEqual({
        poison: ['request_blocked', 'request_blocked'],
        empty: ['no_tokens', 'no_tokens'],
        good: [undefined, undefined]
      })
      await client.acknowledge(entry!, cursor)
      expect((await client.readGroups(entry!, cursor, 0, 0)).groups).toEqual([])
    } finally {
      stopController.abort()
      await Promise.allSettled(restartLoops)
      await cluster.dispose()
    }
  })
})
