import type { History } from './History.js'
import type { Violation } from './Violation.js'

/** Invariant 2: no version in a received sample is further behind the trainer's read than the bound. */
export function checkStaleness (history: History): Violation[] {
  return history.trainers.flatMap(({ trainer, bound, received }) => received.flatMap(group => group.samples.flatMap(sample => {
    const oldest = Math.min(...sample.origin.flatMap(range => [range.version, range.kv_version]))
    if (oldest >= group.version_known - bound) return []
    const message = `version ${oldest} was received when ${group.version_known} was known; bound ${bound}`
    return [{ rule: '2 staleness', subject: `${trainer} ${group.group}/${sample.index}`, message, records: [group] }]
  })))
}
