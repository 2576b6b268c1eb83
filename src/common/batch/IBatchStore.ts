import type { Result } from 'neverthrow'
import type { IEvent } from '../kernel/IEvent.js'
import type { StoreError } from '../store/StoreError.js'
import type { Batch } from './Batch.js'
import type { BatchItem } from './record/BatchItem.js'
import type { BatchResult } from './record/BatchResult.js'
import type { BatchSpec } from './record/BatchSpec.js'
import type { ItemState } from './record/ItemState.js'

/** All batches of the leader. Every change is durable before it is visible. */
export interface IBatchStore {
  /** Fires when a batch was accepted, received a result or ended. */
  readonly onChanged: IEvent<Batch>
  readonly onEnded: IEvent<Batch>
  find (id: string): Batch | undefined
  all (): Iterable<Batch>
  /** Accepts a batch; idempotent by batch id. */
  submit (spec: BatchSpec, items: readonly BatchItem[]): Promise<Result<Batch, StoreError>>
  /** Stores a result at the next position. */
  addResult (batch: Batch, result: BatchResult): Promise<Result<void, StoreError>>
  /** Stores the events that were added to these items since they were last stored. */
  saveProgress (items: ReadonlyArray<{ batch: Batch, state: ItemState }>): Promise<Result<void, StoreError>>
  end (batch: Batch): Promise<Result<void, StoreError>>
  /** For how long the store has failed to accept records, in milliseconds; 0 while it works. */
  failingForMs (): number
}
