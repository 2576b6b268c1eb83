import { MIN_PROCESSES } from './MIN_PROCESSES.js'
import type { EnvironmentSize } from './EnvironmentSize.js'

const MIN_SIZE: EnvironmentSize = { entries: 12, upstreams: 3 }
const SERVICE_COUNT = 4

/** Assigns half of the processes above the minimum to upstreams and the rest to entries. */
export function planEnvironmentSize (processes: number): EnvironmentSize {
  const extra = Math.max(0, processes - MIN_PROCESSES)
  const upstreamsEach = Math.floor(extra / 2 / SERVICE_COUNT)
  return { entries: MIN_SIZE.entries + extra - upstreamsEach * SERVICE_COUNT, upstreams: MIN_SIZE.upstreams + upstreamsEach }
}
