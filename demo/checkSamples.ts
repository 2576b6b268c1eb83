import type { ReceivedGroup } from '../standin/trainer/ReceivedGroup.js'
import { versionOfToken } from '../standin/engine/versionOfToken.js'
import type { DemoCounters } from './DemoCounters.js'

/** Numbers of steps, groups and samples that a trainer requested, and the staleness bound of its contract. */
interface SampleExpectation {
  steps: number
  /** Groups per step. */
  groups: number
  /** Samples per group. */
  samples: number
  stalenessVersions: number
}

/**
 * Counts each sample that a trainer requested as one request and checks that it was received once, with a true origin
 * and within the staleness bound.
 */
export function checkSamples (trainer: string, received: ReceivedGroup[], expected: SampleExpectation, counters: DemoCounters): void {
  const receivedNames = new Set<string>()
  let correct = 0
  for (const { step, group, samples, version_known: knownVersion } of received) {
    for (const sample of samples) {
      const name = `${trainer} step ${step} group ${group} sample ${sample.index}`
      if (receivedNames.has(name)) counters.duplicated++
      receivedNames.add(name)
      if (sample.origin.some(range => knownVersion - Math.min(range.version, range.kv_version) > expected.stalenessVersions)) counters.stale++
      if (isOriginTrue(sample)) correct++
      else console.error(`${name} has an origin with versions that did not produce its tokens`)
    }
  }
  const requested = expected.steps * expected.groups * expected.samples
  counters.requests += requested
  counters.answered += Math.min(correct, receivedNames.size)
  counters.lost += requested - Math.min(correct, receivedNames.size)
}

/** Compares the stated origin with the token ids: the engine stand-in encodes in each id the version that produced it. */
function isOriginTrue (sample: ReceivedGroup['samples'][number]): boolean {
  return sample.token_ids.every((tokenId, index) =>
    sample.origin.some(range => range.from <= index && index < range.to && range.version === versionOfToken(tokenId)))
}
