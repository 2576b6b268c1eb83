import type { ContractView } from './ContractView.js'
import { extendWindow } from './extendWindow.js'
import type { FaultRecord } from './FaultRecord.js'
import type { History } from './History.js'
import type { Violation } from './Violation.js'
import { tolerances } from './tolerances.js'

const RULE = '9 contracts'

/**
 * Invariant 9: each revision has one text, no entry reverts to an older revision, and an accepted revision is in
 * force at every ready entry within `tolerances.contractPropagationMs`.
 */
export function checkContracts (history: History): Violation[] {
  return [...findConflictingTexts(history), ...findRevertedRevisions(history), ...findLateRevisions(history)]
}

function findConflictingTexts ({ publications, views }: History): Violation[] {
  const texts = new Map<string, { text: string }>()
  return [...publications.filter(item => item.revision !== undefined), ...views].flatMap(item => {
    const subject = `${item.organisation} revision ${item.revision}`
    const known = texts.get(subject)
    if (known === undefined) texts.set(subject, item)
    return known === undefined || known.text === item.text ? [] : [{ rule: RULE, subject, message: 'two texts for one revision', records: [known, item] }]
  })
}

function findRevertedRevisions ({ views }: History): Violation[] {
  const highest = new Map<string, ContractView>()
  return views.toSorted((a, b) => a.atMs - b.atMs).flatMap(view => {
    const subject = `${view.organisation} at ${view.entry}`
    const known = highest.get(subject)
    if (known === undefined || view.revision > known.revision) highest.set(subject, view)
    return known === undefined || view.revision >= known.revision ? [] : [{ rule: RULE, subject, message: 'reverted', records: [known, view] }]
  })
}

function findLateRevisions ({ publications, views, faults }: History): Violation[] {
  return publications.flatMap(publication => views.flatMap(view => {
    const { organisation, revision = 0, endedAtMs } = publication
    if (view.organisation !== organisation || view.revision >= revision || view.atMs < endedAtMs) return []
    const endMs = extendWindow(endedAtMs, tolerances.contractPropagationMs, faults.filter(fault => canDelayContract(fault, view.entry)))
    if (view.atMs < endMs && !view.isFinal) return []
    return [{ rule: RULE, subject: `${organisation} at ${view.entry}`, message: `revision ${revision} is not in force`, records: [publication, view] }]
  }))
}

/** True for faults that can delay the propagation of a contract to the entry. */
function canDelayContract ({ kind, target }: FaultRecord, entry: string): boolean {
  return kind.startsWith('log_') || target === entry || target === `${entry}>log`
}
