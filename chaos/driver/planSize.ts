import { totalmem } from 'node:os'
import type { SiteSize } from './SiteSize.js'

/** Size of the smallest run: 12 entries, 12 upstreams, 5 stand-ins of the platform and 3 trainers. */
export const MIN_PROCESSES = 32
const MIN_SIZE: SiteSize = { entries: 12, upstreams: 3 }
const SERVICES = 4
/** Resident memory of one Node.js process of a run, with a margin. */
const BYTES_PER_PROCESS = 80_000_000
/** Share of the machine's memory that a run may take. */
const MEMORY_SHARE = 0.5

/** Most processes that fit into half of this machine's memory. */
export function maxProcesses (memoryBytes = totalmem()): number {
  return Math.floor(memoryBytes * MEMORY_SHARE / BYTES_PER_PROCESS)
}

/** Gives half of the processes above the smallest size to upstreams, the rest to entries. */
export function planSize (processes: number): SiteSize {
  const extra = Math.max(0, processes - MIN_PROCESSES)
  const upstreamsEach = Math.floor(extra / 2 / SERVICES)
  return { entries: MIN_SIZE.entries + extra - upstreamsEach * SERVICES, upstreams: MIN_SIZE.upstreams + upstreamsEach }
}
