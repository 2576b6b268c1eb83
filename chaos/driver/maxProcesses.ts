import { totalmem } from 'node:os'

/** Resident memory of one Node.js process of a run, including a margin. */
const BYTES_PER_PROCESS = 80_000_000
/** Fraction of the host's memory that a run may use. */
const MEMORY_SHARE = 0.5

/** Returns the maximum number of processes that fit into half of this host's memory. */
export function maxProcesses (memoryBytes = totalmem()): number {
  return Math.floor(memoryBytes * MEMORY_SHARE / BYTES_PER_PROCESS)
}
