import type { ItemState } from '../record/ItemState.js'

/** Events per hinted token before the first item has completed. */
const DEFAULT_EVENTS_PER_TOKEN = 1 / 60
const DEFAULT_EVENTS = 25
const LEARN_WEIGHT = 0.05
/** A generation that has outrun its hint is expected to go on for this share of its length. */
const OVERRUN_SHARE = 0.5

/** Estimates how many events an item still needs, from its hint and from completed items. */
export class LengthEstimator {
  private _eventsPerToken = DEFAULT_EVENTS_PER_TOKEN
  private _meanEvents = DEFAULT_EVENTS

  noteCompleted (hintTokens: number | undefined, events: number): void {
    this._meanEvents += LEARN_WEIGHT * (events - this._meanEvents)
    if (hintTokens === undefined || hintTokens <= 0) return
    this._eventsPerToken += LEARN_WEIGHT * (events / hintTokens - this._eventsPerToken)
  }

  remainingEvents (state: ItemState): number {
    if (state.status === 'finished') return 0
    const hint = state.item.lengthHintTokens
    const expected = hint === undefined ? this._meanEvents : hint * this._eventsPerToken
    const done = state.progress.events.length
    return Math.max(expected - done, 1 + done * OVERRUN_SHARE * Number(done >= expected), 1)
  }
}
