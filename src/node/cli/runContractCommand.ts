import type { AdminClient } from './AdminClient.js'
import { loadContract } from './loadContract.js'
import { CliError } from './CliError.js'
import type { CliIo } from './CliIo.js'

interface ContractOptions { baseRevision?: unknown, revision?: unknown }

/** Runs `contract <action> <target>`; `createClient` is called only for actions that need an entry. */
export async function runContractCommand (action: string, target: string, options: ContractOptions, createClient: () => AdminClient, io: CliIo): Promise<void> {
  switch (action) {
    case 'check':
      io.out(`valid contract of ${loadContract(target).organisation}`)
      return
    case 'publish':
      return await publish(target, options, createClient, io)
    case 'show':
      io.out((await createClient().call('GET', contractPath(target))).text)
      return
    case 'history':
      for (const revision of (await createClient().call('GET', `${contractPath(target)}/history`)).revisions) io.out(formatRevision(revision))
      return
    case 'diff':
      return await diff(target, options, createClient, io)
    default:
      throw new CliError(2, [`unknown action ${action}: use check, publish, show, diff or history`])
  }
}

async function publish (file: string, options: ContractOptions, createClient: () => AdminClient, io: CliIo): Promise<void> {
  const { organisation, text } = loadContract(file)
  const baseRevision = options.baseRevision
  if (typeof baseRevision !== 'number' || !Number.isSafeInteger(baseRevision) || baseRevision < 0) {
    throw new CliError(2, ['--base-revision: must be the revision that was edited, 0 for a first contract'])
  }
  const published = await createClient().call('POST', contractPath(organisation), { base_revision: baseRevision, text }, file)
  io.out(`published ${formatRevision(published)}`)
}

async function diff (organisation: string, options: ContractOptions, createClient: () => AdminClient, io: CliIo): Promise<void> {
  const { revisions } = await createClient().call('GET', `${contractPath(organisation)}/history`)
  const requestedRevision = options.revision ?? revisions.at(-1).revision
  const revision = revisions.find((candidate: any) => candidate.revision === requestedRevision)
  if (revision === undefined) throw new CliError(1, [`revision ${String(requestedRevision)} of ${organisation} is no longer available`])
  io.out(formatRevision(revision))
  for (const change of revision.changes) io.out(formatChange(change))
}

function contractPath (organisation: string): string {
  return `/contracts/${encodeURIComponent(organisation)}`
}

function formatRevision (revision: any): string {
  return `organisation=${revision.organisation} revision=${revision.revision} operator=${revision.operator} time=${new Date(revision.at_ms).toISOString()}`
}

function formatChange (change: any): string {
  return `  ${change.field}: ${JSON.stringify(change.before) ?? 'absent'} -> ${JSON.stringify(change.after) ?? 'absent'}`
}
