import type { ReceivedGroup } from '../standin/trainer/ReceivedGroup.js'
import { versionOfToken } from '../standin/engine/versionOfToken.js'
import type { DemoCounters } from './DemoCounters.js'

/** What a trainer asked for and its contract's bound. */
interface SampleExpectation {
  steps: number
  groups: number
  samples: number
  stalenessVersions: number
}

/** Counts each sample of a trainer as a request: answered once, whole, fresh and with its true origin. */
export function checkSamples (trainer: string, received: ReceivedGroup[], expected: SampleExpectation, tally: DemoCounters): void {
  const seen = new Set<string>()
  let answered = 0
  for (const { step, group, samples, version_known: known } of received) {
    for (const sample of samples) {
      const name = `${trainer} step ${step} group ${group} sample ${sample.index}`
      if (seen.has(name)) tally.duplicated++
      seen.add(name)
      if (sample.origin.some(range => known - Math.min(range.version, range.kv_version) > expected.stalenessVersions)) tally.stale++
      if (isOriginTrue(sample)) answered++
      else console.error(`${name} names versions that did not produce it`)
    }
  }
  const requested = expected.steps * expected.groups * expected.samples
  tally.requests += requested
  tally.answered += Math.min(answered, seen.size)
  tally.lost += requested - Math.min(answered, seen.size)
}

/** The engine stand-in's token ids tell which version truly produced them. */
function isOriginTrue (sample: ReceivedGroup['samples'][number]): boolean {
  return sample.token_ids.every((tokenId, index) =>
    sample.origin.some(range => range.from <= index && index < range.to && range.version === versionOfToken(tokenId)))
}
