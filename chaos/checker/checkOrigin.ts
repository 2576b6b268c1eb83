import { versionOfToken } from '../../standin/engine/versionOfToken.js'
import { tokenText } from '../../standin/engine/tokenText.js'
import type { History } from './History.js'
import type { Violation } from './Violation.js'

type Sample = History['trainers'][number]['received'][number]['samples'][number]

/** Invariant 1: the ranges tile the sample, and each token comes from the version that its range names. */
export function checkOrigin (history: History): Violation[] {
  return history.trainers.flatMap(({ trainer, received }) => received.flatMap(group => group.samples.flatMap(sample => {
    const message = fault(sample)
    const subject = `${trainer} ${group.group}/${sample.index}`
    return message === undefined ? [] : [{ rule: '1 origin', subject, message, records: [sample] }]
  })))
}

function fault ({ token_ids: tokens, text, origin }: Sample): string | undefined {
  let next = 0
  for (const { from, to, version, kv_version: kvVersion } of origin) {
    if (from !== next || to <= from) return `range ${from}..${to} does not follow token ${next}`
    if (kvVersion > version) return `range ${from}..${to} names KV cache of version ${kvVersion} above ${version}`
    const other = tokens.slice(from, to).find(token => versionOfToken(token) !== version)
    if (other !== undefined) return `token ${other} in range ${from}..${to} is not of version ${version}`
    next = to
  }
  if (next !== tokens.length) return `the ranges end at ${next} of ${tokens.length} tokens`
  return text === tokens.map(tokenText).join('') ? undefined : 'the text is not that of the tokens'
}
