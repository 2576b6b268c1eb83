import type { History } from './History.js'
import type { TrainerHistory } from './TrainerHistory.js'
import type { Violation } from './Violation.js'

const RULE = '3 exactly once'

/** Invariant 3: no group arrives twice, and each one is whole, also those of the steps that were trained. */
export function checkSamplesOnce (history: History): Violation[] {
  return history.trainers.flatMap(trainer => [...repeated(trainer), ...incomplete(trainer), ...missing(trainer)])
}

function repeated ({ trainer, received }: TrainerHistory): Violation[] {
  const first = new Map<string, unknown>()
  return received.flatMap(group => {
    const subject = `${trainer} step ${group.step} ${group.group}`
    const earlier = first.get(subject)
    if (earlier === undefined) first.set(subject, group)
    return earlier === undefined ? [] : [{ rule: RULE, subject, message: 'received twice', records: [earlier, group] }]
  })
}

function incomplete ({ trainer, received, samplesPerGroup }: TrainerHistory): Violation[] {
  return received.flatMap(group => {
    const indexes = group.samples.map(sample => sample.index).sort((a, b) => a - b)
    if (indexes.length === samplesPerGroup && indexes.every((index, at) => index === at)) return []
    const message = `samples ${indexes.join(', ')} instead of 0 to ${samplesPerGroup - 1}`
    return [{ rule: RULE, subject: `${trainer} ${group.group}`, message, records: [group] }]
  })
}

function missing ({ trainer, received, stepsDone, groupsPerStep }: TrainerHistory): Violation[] {
  return Array.from({ length: stepsDone }, (_, step) => step).flatMap(step => {
    const groups = new Set(received.filter(group => group.step === step).map(group => group.group))
    if (groups.size === groupsPerStep) return []
    return [{ rule: RULE, subject: `${trainer} step ${step}`, message: `${groups.size} of ${groupsPerStep} groups`, records: [...groups] }]
  })
}
