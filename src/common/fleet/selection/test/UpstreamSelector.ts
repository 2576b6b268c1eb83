import type { FleetUpstream } from '../../FleetUpstream.js'
import type { SelectionContext } from './SelectionContext.js'

/** Selection under comparison. */
export type UpstreamSelector = (candidates: FleetUpstream[], context: SelectionContext) => FleetUpstream | undefined
