import type { IEvent } from '../../kernel/IEvent.js'
import type { SampleTask } from './SampleTask.js'

/** Assigns each sample to one live entry. */
export interface ISampleOwnership {
  /** Fires when the owners of samples may have changed. */
  readonly onChange: IEvent<void>
  /** True when this entry has to run the sample. */
  isOwned (task: SampleTask): boolean
}
