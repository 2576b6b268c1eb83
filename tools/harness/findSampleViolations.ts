import type { ReceivedGroup } from '../../standin/trainer/ReceivedGroup.js'
import { versionOfToken } from '../../standin/engine/versionOfToken.js'

type DeliveredGroup = Pick<ReceivedGroup, 'step' | 'group' | 'samples' | 'version_known'>
type Sample = DeliveredGroup['samples'][number]

/**
 * Finds violations of invariants 1 to 3 in the groups that a trainer received: origins that contradict the token ids,
 * samples staler than the bound, groups received twice, groups without exactly the requested samples.
 */
export function findSampleViolations (groups: DeliveredGroup[], expected: { stalenessBound: number, samples: number }): string[] {
  const seen = new Set<string>()
  return groups.flatMap((group) => {
    const name = `${group.step}/${group.group}`
    const violations = seen.has(name) ? [`${name} was received twice`] : []
    seen.add(name)
    const indexes = group.samples.map(({ index }) => index).sort((a, b) => a - b)
    const isComplete = indexes.length === expected.samples && indexes.every((index, i) => index === i)
    if (!isComplete) violations.push(`${name} has the sample indexes ${indexes.join()}`)
    for (const sample of group.samples) {
      const violation = findOriginViolation(sample) ?? findStalenessViolation(sample, group.version_known, expected.stalenessBound)
      if (violation !== undefined) violations.push(`${name}/${sample.index}: ${violation}`)
    }
    return violations
  })
}

function findOriginViolation (sample: Sample): string | undefined {
  const { token_ids: tokens, origin, failure } = sample
  if (failure !== undefined) return tokens.length === 0 ? undefined : 'a failed sample has tokens'
  if (tokens.length === 0) return 'the sample has no tokens'
  let end = 0
  for (const { from, to, version, kv_version: kvVersion } of origin) {
    if (from !== end || to <= from) return `range ${from}..${to} does not continue at ${end}`
    end = to
    const mismatchedId = tokens.slice(from, to).find((id) => versionOfToken(id) !== version)
    if (mismatchedId !== undefined) return `version ${version} is stated for a token of version ${versionOfToken(mismatchedId)}`
    if (kvVersion > version) return `kv_version ${kvVersion} is newer than version ${version}`
  }
  return end === tokens.length ? undefined : `the origin ends at ${end} of ${tokens.length} tokens`
}

function findStalenessViolation ({ origin }: Sample, newestVersion: number, stalenessBound: number): string | undefined {
  const oldestVersion = Math.min(...origin.map((range) => Math.min(range.version, range.kv_version)))
  return newestVersion - oldestVersion > stalenessBound ? `version ${oldestVersion} is too old for ${newestVersion}` : undefined
}
