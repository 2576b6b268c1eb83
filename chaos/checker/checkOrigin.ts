import { versionOfToken } from '../../standin/engine/versionOfToken.js'
import { tokenText } from '../../standin/engine/tokenText.js'
import type { History } from './History.js'
import type { Violation } from './Violation.js'

type Sample = History['trainers'][number]['received'][number]['samples'][number]

/** Invariant 1: the origin ranges cover the sample without gaps or overlaps, and each token is of the weight version that its range names. */
export function checkOrigin (history: History): Violation[] {
  return history.trainers.flatMap(({ trainer, received }) => received.flatMap(group => group.samples.flatMap(sample => {
    const message = findDefect(sample)
    const subject = `${trainer} ${group.group}/${sample.index}`
    return message === undefined ? [] : [{ rule: '1 origin', subject, message, records: [sample] }]
  })))
}

/** Describes the first inconsistency of a sample; undefined if there is none. */
function findDefect ({ token_ids: tokens, text, origin }: Sample): string | undefined {
  let coveredTokens = 0
  for (const { from, to, version, kv_version: kvVersion } of origin) {
    if (from !== coveredTokens || to <= from) return `range ${from}..${to} does not follow token ${coveredTokens}`
    if (kvVersion > version) return `range ${from}..${to} names KV cache version ${kvVersion} above ${version}, its weight version`
    const mismatched = tokens.slice(from, to).find(token => versionOfToken(token) !== version)
    if (mismatched !== undefined) return `token ${mismatched} in range ${from}..${to} is not of version ${version}`
    coveredTokens = to
  }
  if (coveredTokens !== tokens.length) return `the ranges cover ${coveredTokens} of ${tokens.length} tokens`
  return text === tokens.map(tokenText).join('') ? undefined : 'the text does not match the tokens'
}
