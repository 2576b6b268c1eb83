import type { Contract } from '../schema/Contract.js'
import type { IniError } from '../settings/IniError.js'
import { IniLineIndex } from '../settings/IniLineIndex.js'

const MS_PER_S = 1000

/** Checks the rules between fields of a contract that hold whatever the settings are. */
export function checkContract (contract: Contract, text: string): IniError[] {
  const lines = new IniLineIndex(text)
  const errors: IniError[] = []
  const report = (path: string[], rule: string): void => {
    errors.push({ line: lines.findLine(path), field: path.join('.'), rule })
  }
  checkWork(contract, report)
  checkOverlap(contract, report)
  for (const [name, terms] of Object.entries(contract.trainer)) {
    if (terms.scorer === terms.service) report(['trainer', name, 'scorer'], 'must not be the service that generates the samples')
  }
  return errors
}

type Report = (path: string[], rule: string) => void

function checkWork (contract: Contract, report: Report): void {
  const keyWindowMs = contract.limits.key_window_s * MS_PER_S
  for (const [name, work] of Object.entries(contract.work)) {
    const path = ['work', name]
    if (work.kind === 'call' && work.trainer !== undefined) report([...path, 'trainer'], 'applies to generation work only')
    if (work.trainer !== undefined && contract.trainer[work.trainer] === undefined) {
      report([...path, 'trainer'], `this contract has no section [trainer.${work.trainer}]`)
    } else if (work.trainer !== undefined && contract.trainer[work.trainer]?.service !== work.service) {
      report([...path, 'trainer'], 'must be a trainer of the same service')
    }
    if (work.kind === 'generation' && work.methods.length > 0) report([...path, 'methods'], 'applies to call work only')
    if (work.kind === 'generation' && work.repeat === 'never') report([...path, 'repeat'], 'never applies to call work only')
    // A key forgotten while its call still runs would let the call run again.
    if (work.repeat === 'never' && work.deadline_ms >= keyWindowMs) {
      report([...path, 'deadline_ms'], `must be shorter than limits.key_window_s (${keyWindowMs} ms) when repeat is never`)
    }
  }
}

function checkOverlap (contract: Contract, report: Report): void {
  const owners = new Map<string, string>()
  for (const [name, work] of Object.entries(contract.work)) {
    if (work.kind !== 'call') continue
    for (const method of work.methods.length === 0 ? ['*'] : work.methods) {
      const scope = `${work.service} ${method} ${work.path}`
      const owner = owners.get(scope)
      if (owner !== undefined) report(['work', name, 'path'], `work class ${owner} covers the same calls`)
      owners.set(scope, name)
    }
  }
}
