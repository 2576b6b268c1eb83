import type { IEvent } from '../../kernel/IEvent.js'
import type { SampleTask } from './SampleTask.js'

/** Tells which samples belong to this entry. */
export interface ISampleOwnership {
  /** Fires when samples may have changed their owner. */
  readonly onChange: IEvent<void>
  isOwned (task: SampleTask): boolean
}
