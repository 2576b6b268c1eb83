import type { ReceivedGroup } from '../../standin/trainer/ReceivedGroup.js'
import { versionOfToken } from '../../standin/engine/versionOfToken.js'

type Received = Pick<ReceivedGroup, 'step' | 'group' | 'samples' | 'version_known'>
type Sample = Received['samples'][number]

/**
 * Violations of invariants 1 to 3 in what a trainer received: origins that contradict the token ids, samples
 * older than the bound, groups received twice, groups without exactly the samples that were asked for.
 */
export function findSampleViolations (groups: Received[], expected: { stalenessBound: number, samples: number }): string[] {
  const seen = new Set<string>()
  return groups.flatMap((group) => {
    const name = `${group.step}/${group.group}`
    const faults = seen.has(name) ? [`${name} was received twice`] : []
    seen.add(name)
    const indexes = group.samples.map(({ index }) => index).sort((a, b) => a - b)
    const isWhole = indexes.length === expected.samples && indexes.every((index, i) => index === i)
    if (!isWhole) faults.push(`${name} has the indexes ${indexes.join()}`)
    for (const sample of group.samples) {
      const fault = originFault(sample) ?? stalenessFault(sample, group.version_known, expected.stalenessBound)
      if (fault !== undefined) faults.push(`${name}/${sample.index}: ${fault}`)
    }
    return faults
  })
}

function originFault (sample: Sample): string | undefined {
  const { token_ids: tokens, origin, failure } = sample
  if (failure !== undefined) return tokens.length === 0 ? undefined : 'a failure has tokens'
  if (tokens.length === 0) return 'there are no tokens'
  let end = 0
  for (const { from, to, version, kv_version: kvVersion } of origin) {
    if (from !== end || to <= from) return `range ${from}..${to} does not continue at ${end}`
    end = to
    const wrong = tokens.slice(from, to).find((id) => versionOfToken(id) !== version)
    if (wrong !== undefined) return `version ${version} is stated for a token of version ${versionOfToken(wrong)}`
    if (kvVersion > version) return `kv_version ${kvVersion} is newer than version ${version}`
  }
  return end === tokens.length ? undefined : `the origin ends at ${end} of ${tokens.length} tokens`
}

function stalenessFault ({ origin }: Sample, newest: number, bound: number): string | undefined {
  const oldest = Math.min(...origin.map((range) => Math.min(range.version, range.kv_version)))
  return newest - oldest > bound ? `version ${oldest} is too old for ${newest}` : undefined
}
