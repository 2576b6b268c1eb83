import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { LoadReading } from '../../fleet/LoadReading.js'
import type { BatchItem } from '../record/BatchItem.js'
import type { EngineRunOutcome } from './EngineRunOutcome.js'

/** Receives the output and state that an engine sends while it runs an item. */
interface EngineRunListener {
  /** The connection to the engine is open. */
  onConnected (): void
  /** The engine responds; it names its version in the response and where that changes. */
  onVersion (version: number): void
  onLoad (load: LoadReading): void
  /** The engine says that it leaves. */
  onLeaving (): void
  onEvent (id: number, data: string): void
}

interface EngineRunRequest {
  item: BatchItem
  host: string
  /** Organisation of the batch; undefined if it has none. */
  organisation?: string
  /** The run resumes after the event with this id; 0 starts from the beginning. */
  lastEventId: number
  /** Time until the retention of the batch ends, after which the engine may stop. */
  remainingMs: number
}

/** Runs an item at an engine; aborting the signal closes the connection, which ends the run. */
export interface IEngineTransport {
  run (request: EngineRunRequest, engine: FleetUpstream, listener: EngineRunListener, signal: AbortSignal): Promise<EngineRunOutcome>
}
