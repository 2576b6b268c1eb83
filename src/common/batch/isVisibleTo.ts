import type { BatchSpec } from './record/BatchSpec.js'

/** A batch without an organisation comes from a public route, or from before organisations were configured. */
export function isVisibleTo (spec: BatchSpec, organisation: string | undefined): boolean {
  return spec.organisation === undefined || spec.organisation === organisation
}
