import type { History } from './History.js'
import type { TrainerHistory } from './TrainerHistory.js'
import type { Violation } from './Violation.js'

const RULE = '3 exactly once'

/** Invariant 3: no group arrives twice, each group has all its samples, and each trained step received all its groups. */
export function checkExactlyOnce (history: History): Violation[] {
  return history.trainers.flatMap(trainer => [...findDuplicateGroups(trainer), ...findIncompleteGroups(trainer), ...findMissingGroups(trainer)])
}

function findDuplicateGroups ({ trainer, received }: TrainerHistory): Violation[] {
  const firstReceived = new Map<string, unknown>()
  return received.flatMap(group => {
    const subject = `${trainer} step ${group.step} ${group.group}`
    const earlier = firstReceived.get(subject)
    if (earlier === undefined) firstReceived.set(subject, group)
    return earlier === undefined ? [] : [{ rule: RULE, subject, message: 'received twice', records: [earlier, group] }]
  })
}

function findIncompleteGroups ({ trainer, received, samplesPerGroup }: TrainerHistory): Violation[] {
  return received.flatMap(group => {
    const indexes = group.samples.map(sample => sample.index).sort((a, b) => a - b)
    if (indexes.length === samplesPerGroup && indexes.every((index, position) => index === position)) return []
    const message = `samples ${indexes.join(', ')} instead of 0 to ${samplesPerGroup - 1}`
    return [{ rule: RULE, subject: `${trainer} ${group.group}`, message, records: [group] }]
  })
}

function findMissingGroups ({ trainer, received, stepsDone, groupsPerStep }: TrainerHistory): Violation[] {
  return Array.from({ length: stepsDone }, (_, step) => step).flatMap(step => {
    const groups = new Set(received.filter(group => group.step === step).map(group => group.group))
    if (groups.size === groupsPerStep) return []
    return [{ rule: RULE, subject: `${trainer} step ${step}`, message: `${groups.size} of ${groupsPerStep} groups`, records: [...groups] }]
  })
}
