import type { Contract } from '../../../common/schema/Contract.js'
import type { WorkClass } from '../../../common/schema/WorkClass.js'

/**
 * Finds the work class of a call by service, method and longest path prefix. A prefix ends at a
 * segment boundary, so that `/orders` does not cover `/orders-archive`.
 */
export function selectCallWorkClass (contract: Contract, service: string, method: string, path: string): { name: string, workClass: WorkClass } | undefined {
  return Object.entries(contract.work)
    .map(([name, workClass]) => ({ name, workClass }))
    .filter(({ workClass }) => workClass.kind === 'call' && workClass.service === service)
    .filter(({ workClass }) => workClass.methods.length === 0 || workClass.methods.some(allowed => allowed === method))
    .filter(({ workClass }) => isPrefix(workClass.path, path))
    .sort((a, b) => b.workClass.path.length - a.workClass.path.length ||
      b.workClass.methods.length - a.workClass.methods.length || (a.name < b.name ? -1 : 1))[0]
}

function isPrefix (prefix: string, path: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}
