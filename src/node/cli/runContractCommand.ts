import type { AdminClient } from './AdminClient.js'
import { loadContract } from './loadContract.js'
import { CliError } from './CliError.js'
import type { CliIo } from './CliIo.js'

interface ContractOptions { baseRevision?: unknown, revision?: unknown }

/** Runs `contract <action> <target>`; `connect` is called only by actions that need an entry. */
export async function runContractCommand (action: string, target: string, options: ContractOptions, connect: () => AdminClient, io: CliIo): Promise<void> {
  switch (action) {
    case 'check':
      io.out(`valid contract of ${loadContract(target).organisation}`)
      return
    case 'publish':
      return await publish(target, options, connect, io)
    case 'show':
      io.out((await connect().call('GET', pathOf(target))).text)
      return
    case 'history':
      for (const item of (await connect().call('GET', `${pathOf(target)}/history`)).revisions) io.out(formatRevision(item))
      return
    case 'diff':
      return await diff(target, options, connect, io)
    default:
      throw new CliError(2, [`unknown action ${action}: use check, publish, show, diff or history`])
  }
}

async function publish (file: string, options: ContractOptions, connect: () => AdminClient, io: CliIo): Promise<void> {
  const { organisation, text } = loadContract(file)
  const baseRevision = options.baseRevision
  if (typeof baseRevision !== 'number' || !Number.isSafeInteger(baseRevision) || baseRevision < 0) {
    throw new CliError(2, ['--base-revision: must be the revision that was edited, 0 for a first contract'])
  }
  const published = await connect().call('POST', pathOf(organisation), { base_revision: baseRevision, text }, file)
  io.out(`published ${formatRevision(published)}`)
}

async function diff (organisation: string, options: ContractOptions, connect: () => AdminClient, io: CliIo): Promise<void> {
  const { revisions } = await connect().call('GET', `${pathOf(organisation)}/history`)
  const wanted = options.revision ?? revisions.at(-1).revision
  const item = revisions.find((candidate: any) => candidate.revision === wanted)
  if (item === undefined) throw new CliError(1, [`revision ${String(wanted)} of ${organisation} is not known any more`])
  io.out(formatRevision(item))
  for (const change of item.changes) io.out(formatChange(change))
}

function pathOf (organisation: string): string {
  return `/contracts/${encodeURIComponent(organisation)}`
}

function formatRevision (item: any): string {
  return `organisation=${item.organisation} revision=${item.revision} operator=${item.operator} time=${new Date(item.at_ms).toISOString()}`
}

function formatChange (change: any): string {
  return `  ${change.field}: ${JSON.stringify(change.before) ?? 'absent'} -> ${JSON.stringify(change.after) ?? 'absent'}`
}
