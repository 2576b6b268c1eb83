import type { LinkSend } from './LinkSend.js'

/** Age up to which responses tell the rate of a link. */
const SAMPLE_AGE_MS = 3000
const MAX_SENDS = 64
/** Resolution of the clock, so that no rate is infinite. */
const MIN_SPAN_MS = 1

/** Measures the rate of a link by responses: each proves that its whole body has been carried since its start. */
export class RateSampler {
  /** Sends with a response, the last to start first. */
  private readonly _sends: Array<{ bytes: number, startedAtMs: number }> = []
  private _samples: Array<{ atMs: number, bytesPerMs: number }> = []

  /** Records the response to a send. */
  record ({ bytes, startedAtMs }: LinkSend, nowMs: number): void {
    const position = this._sends.findIndex(send => send.startedAtMs <= startedAtMs)
    this._sends.splice(position < 0 ? this._sends.length : position, 0, { bytes, startedAtMs })
    while (this._sends.length > MAX_SENDS || (this._sends.at(-1)?.startedAtMs ?? nowMs) < nowMs - SAMPLE_AGE_MS) this._sends.pop()
    this._samples.push({ atMs: nowMs, bytesPerMs: this._lowerBound(nowMs) })
    this._samples = this._samples.filter(({ atMs }) => atMs >= nowMs - SAMPLE_AGE_MS)
  }

  /** The greatest lower bound of the rate in the last seconds, in bytes per millisecond; 0 without one. */
  best (nowMs: number): number {
    return this._samples.reduce((best, { atMs, bytesPerMs }) => atMs < nowMs - SAMPLE_AGE_MS ? best : Math.max(best, bytesPerMs), 0)
  }

  /** The bodies that started since some moment and have arrived, divided by the time since then, for the best such moment. */
  private _lowerBound (nowMs: number): number {
    let bytes = 0
    let best = 0
    for (const send of this._sends) {
      bytes += send.bytes
      best = Math.max(best, bytes / Math.max(MIN_SPAN_MS, nowMs - send.startedAtMs))
    }
    return best
  }
}
