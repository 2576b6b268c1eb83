import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { LoadReading } from '../../fleet/LoadReading.js'
import type { BatchItem } from '../record/BatchItem.js'
import type { EngineRunOutcome } from './EngineRunOutcome.js'

/** What an engine tells while it runs an item. */
interface EngineRunListener {
  onVersion (version: number): void
  onLoad (load: LoadReading): void
  onEvent (id: number, data: string): void
}

interface EngineRunRequest {
  item: BatchItem
  host: string
  /** Events behind this id are asked for; 0 for a run from the start. */
  lastEventId: number
  remainingMs: number
}

/** Runs one item at one engine; aborting the signal closes the connection, which ends the run. */
export interface IEngineTransport {
  run (request: EngineRunRequest, engine: FleetUpstream, listener: EngineRunListener, signal: AbortSignal): Promise<EngineRunOutcome>
}
