import type { ListenerName } from './ListenerName.js'

/** A connection or request whose memory counts towards the budget of the process. */
export interface IBudgetHolder {
  readonly listener: ListenerName
  /** `performance.now()` at which the client last sent or read something. */
  readonly lastProgressMs: number
  /** Whether it may be closed now; false while the work that it asked for may run. */
  readonly isSheddable: boolean
  /** Closes it; its bytes have been released. */
  shed (): void
}
