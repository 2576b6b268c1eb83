import type { ItemState } from '../record/ItemState.js'

/** Initial number of events per hinted token, before the first item has completed. */
const INITIAL_EVENTS_PER_TOKEN = 1 / 60
/** Initial mean number of events per item. */
const INITIAL_MEAN_EVENTS = 25
/** Weight of a new item in the exponential moving averages. */
const SMOOTHING_FACTOR = 0.05
/** An item that is longer than estimated is expected to grow by this share of its current length. */
const OVERRUN_SHARE = 0.5

/** Estimates the number of events an item has yet to generate, from its length hint and from completed items. */
export class LengthEstimator {
  private _eventsPerToken = INITIAL_EVENTS_PER_TOKEN
  private _meanEvents = INITIAL_MEAN_EVENTS

  recordCompletion (hintTokens: number | undefined, events: number): void {
    this._meanEvents += SMOOTHING_FACTOR * (events - this._meanEvents)
    if (hintTokens === undefined || hintTokens <= 0) return
    this._eventsPerToken += SMOOTHING_FACTOR * (events / hintTokens - this._eventsPerToken)
  }

  /** Expected number of events of a whole item; without a hint, the mean. */
  expectedEvents (hintTokens: number | undefined): number {
    return hintTokens === undefined ? this._meanEvents : hintTokens * this._eventsPerToken
  }

  remainingEvents (state: ItemState): number {
    if (state.status === 'finished' || state.status === 'scoring') return 0
    const expected = this.expectedEvents(state.item.lengthHintTokens)
    const done = state.progress.events.length
    return Math.max(expected - done, 1 + done * OVERRUN_SHARE * Number(done >= expected), 1)
  }
}
