import type { Contract } from '../schema/Contract.js'
import type { ContractChange } from './ContractChange.js'

/** Lists the fields that differ between two contracts, including defaults, sorted by name. */
export function diffContracts (before: Contract | undefined, after: Contract | undefined): ContractChange[] {
  const oldFields = flatten(before)
  const newFields = flatten(after)
  const fields = [...new Set([...oldFields.keys(), ...newFields.keys()])].sort()
  return fields
    .map(field => ({ field, before: oldFields.get(field), after: newFields.get(field) }))
    .filter(change => change.before !== change.after)
}

function flatten (value: unknown, path = '', fields = new Map<string, string>()): Map<string, string> {
  if (value === undefined) return fields
  if (Array.isArray(value) || typeof value !== 'object' || value === null) {
    fields.set(path, Array.isArray(value) ? value.join(', ') : String(value))
    return fields
  }
  for (const [key, item] of Object.entries(value)) flatten(item, path === '' ? key : `${path}.${key}`, fields)
  return fields
}
