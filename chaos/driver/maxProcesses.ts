import { totalmem } from 'node:os'

/** Resident memory of one Node.js process of a run, with a margin. */
const BYTES_PER_PROCESS = 80_000_000
/** Share of the machine's memory that a run may take. */
const MEMORY_SHARE = 0.5

/** Most processes that fit into half of this machine's memory. */
export function maxProcesses (memoryBytes = totalmem()): number {
  return Math.floor(memoryBytes * MEMORY_SHARE / BYTES_PER_PROCESS)
}
