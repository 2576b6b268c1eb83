import { err, ok, type Result } from 'neverthrow'
import type { Contract } from '../../../common/schema/Contract.js'
import type { WorkClass } from '../../../common/schema/WorkClass.js'
import type { ApiError } from '../error/ApiError.js'

interface Selection { name: string, workClass: WorkClass }

/**
 * Finds the work class of a generation: among those of the service, the one with the smallest
 * `max_tokens` that covers the request, so that small requests run as short work.
 */
export function selectGenerationWorkClass (contract: Contract, service: string, maxTokens: number | undefined): Result<Selection, ApiError> {
  const workClasses = Object.entries(contract.work)
    .filter(([, workClass]) => workClass.kind === 'generation' && workClass.service === service)
    .map(([name, workClass]) => ({ name, workClass }))
    .sort((a, b) => a.workClass.max_tokens - b.workClass.max_tokens || (a.name < b.name ? -1 : 1))
  if (workClasses.length === 0) {
    return err({ status: 403, kind: 'not_covered', message: `no work class of the contract covers generations of ${service}`, field: 'model', outcome: 'not_run' })
  }
  const selected = workClasses.find(({ workClass }) => (maxTokens ?? 1) <= workClass.max_tokens)
  if (selected === undefined) {
    return err({ status: 403, kind: 'not_covered', message: `the contract allows at most ${workClasses.at(-1)?.workClass.max_tokens} tokens`, field: 'max_tokens', outcome: 'not_run' })
  }
  return ok(selected)
}
