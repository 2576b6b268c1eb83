import type { History } from './History.js'
import type { Violation } from './Violation.js'

/** Invariant 2: no weight or KV cache version of a received sample lags behind the version known at the read by more than the bound. */
export function checkStaleness (history: History): Violation[] {
  return history.trainers.flatMap(({ trainer, bound, received }) => received.flatMap(group => group.samples.flatMap(sample => {
    const oldestVersion = Math.min(...sample.origin.flatMap(range => [range.version, range.kv_version]))
    if (oldestVersion >= group.version_known - bound) return []
    const message = `version ${oldestVersion} was received when ${group.version_known} was known; the bound is ${bound}`
    return [{ rule: '2 staleness', subject: `${trainer} ${group.group}/${sample.index}`, message, records: [group] }]
  })))
}
