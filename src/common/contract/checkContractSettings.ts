import type { Contract } from '../schema/Contract.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import type { IniError } from '../settings/IniError.js'
import { IniLineIndex } from '../settings/IniLineIndex.js'
import type { ServiceSettings } from '../settings/ServiceSettings.js'

const MS_PER_S = 1000
// A claim must still be in the log for every entry that starts while its key is remembered.
const KEY_WINDOWS_PER_RETENTION = 3

/**
 * Checks a contract against the settings of this entry. Entries may differ in settings, so these
 * rules apply before publishing and never to records of the log.
 */
export function checkContractSettings (
  contract: Contract, text: string, settings: Pick<EntrySettings, 'retentionMs' | 'services'>
): IniError[] {
  const lines = new IniLineIndex(text)
  const errors: IniError[] = []
  const report = (path: string[], rule: string): void => {
    errors.push({ line: lines.findLine(path), field: path.join('.'), rule })
  }
  const limitMs = settings.retentionMs / KEY_WINDOWS_PER_RETENTION
  if (contract.limits.key_window_s * MS_PER_S >= limitMs) {
    report(['limits', 'key_window_s'], `must be less than ${limitMs / MS_PER_S}, a third of the log's retention in seconds`)
  }
  const expectKind = (path: string[], name: string, kind: ServiceSettings['kind']): void => {
    const service = settings.services.find(candidate => candidate.name === name)
    if (service === undefined) {
      report(path, `the settings have no service ${name}`)
    } else if (service.kind !== kind) {
      report(path, `service ${name} must be of kind ${kind}`)
    }
  }
  for (const [name, work] of Object.entries(contract.work)) {
    expectKind(['work', name, 'service'], work.service, work.kind === 'generation' ? 'engine' : 'plain')
  }
  for (const [name, terms] of Object.entries(contract.trainer)) {
    expectKind(['trainer', name, 'service'], terms.service, 'engine')
    if (terms.scorer !== undefined) expectKind(['trainer', name, 'scorer'], terms.scorer, 'plain')
  }
  return errors
}
