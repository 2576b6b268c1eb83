import { CliError } from '../../src/node/cli/CliError.js'
import type { LogSubject } from './LogSubject.js'
import { readTextOption } from './readTextOption.js'

const KINDS = ['batch', 'request', 'item'] as const

/** Reads what is asked for from the arguments. Throws a CliError unless there is exactly one id. */
export function readSubject (argv: readonly string[]): LogSubject {
  const subjects = KINDS.flatMap(kind => {
    const id = readTextOption(argv, kind)
    return id === undefined ? [] : [{ kind, id }]
  })
  const [subject] = subjects
  if (subject === undefined || subjects.length > 1) throw new CliError(2, ['exactly one of --batch ID, --request ID and --item ID is needed, see --help'])
  if (!/^[^\s-]\S*$/.test(subject.id)) throw new CliError(2, [`--${subject.kind}: must be an id, not "${subject.id}"`])
  return subject
}
