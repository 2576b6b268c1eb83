import { MIN_PROCESSES } from './MIN_PROCESSES.js'
import type { SiteSize } from './SiteSize.js'

const MIN_SIZE: SiteSize = { entries: 12, upstreams: 3 }
const SERVICES = 4

/** Gives half of the processes above the smallest size to upstreams, the rest to entries. */
export function planSize (processes: number): SiteSize {
  const extra = Math.max(0, processes - MIN_PROCESSES)
  const upstreamsEach = Math.floor(extra / 2 / SERVICES)
  return { entries: MIN_SIZE.entries + extra - upstreamsEach * SERVICES, upstreams: MIN_SIZE.upstreams + upstreamsEach }
}
