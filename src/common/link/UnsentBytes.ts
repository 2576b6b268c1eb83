import type { LinkSend } from './LinkSend.js'
import { sizeClassOf } from './sizeClassOf.js'

/** Shorter times are not worth the work of an update. */
const MIN_STEP_MS = 1

/** Models which bytes have left a link, whose sends share its rate equally, as connections do. */
export class UnsentBytes {
  private _sends: LinkSend[] = []
  private _updatedAtMs = performance.now()

  add (send: LinkSend): void {
    this._sends.push(send)
  }

  remove (send: LinkSend): void {
    const index = this._sends.indexOf(send)
    if (index >= 0) this._sends.splice(index, 1)
  }

  /** Records that `arrived` has been carried: by equal shares, an earlier send has had at least as many bytes since then. */
  recordArrival (arrived: LinkSend): void {
    for (const send of this._sends) {
      if (send.startedAtMs <= arrived.startedAtMs) send.unsentBytes = Math.min(send.unsentBytes, Math.max(0, send.bytes - arrived.bytes))
    }
  }

  /** Corrects a send for a link that has been faster or slower by a factor since its start. */
  rescale (send: LinkSend, factor: number, nowMs: number): void {
    const { bytes, startedAtMs } = send
    const elapsedMs = nowMs - startedAtMs
    const sendMs = ((send.sentAtMs ?? nowMs) - startedAtMs) / factor * bytes / Math.max(1, bytes - send.unsentBytes)
    const isSent = sendMs <= elapsedMs
    send.unsentBytes = isSent ? 0 : bytes * (1 - elapsedMs / sendMs)
    send.sentAtMs = isSent ? startedAtMs + sendMs : undefined
    if (!isSent && !this._sends.includes(send)) this._sends.push(send)
  }

  get total (): number {
    return this._sends.reduce((sum, { unsentBytes }) => sum + unsentBytes, 0)
  }

  countOfClass (sizeClass: number): number {
    return this._sends.filter(({ bytes }) => sizeClassOf(bytes) === sizeClass).length
  }

  ofClass (sizeClass: number): number {
    return this._sends.reduce((sum, { bytes, unsentBytes }) => sizeClassOf(bytes) === sizeClass ? sum + unsentBytes : sum, 0)
  }

  /** Advances the model to `nowMs`. */
  update (nowMs: number, bytesPerMs: number): void {
    const elapsedMs = nowMs - this._updatedAtMs
    if (elapsedMs < MIN_STEP_MS) return
    const startedAtMs = this._updatedAtMs
    this._updatedAtMs = nowMs
    if (this._sends.length === 0) return
    this._sends.sort((a, b) => a.unsentBytes - b.unsentBytes)
    let capacityBytes = elapsedMs * bytesPerMs
    let shareBytes = 0
    let sentCount = 0
    for (const send of this._sends) {
      const neededBytes = (send.unsentBytes - shareBytes) * (this._sends.length - sentCount)
      if (neededBytes > capacityBytes) break
      capacityBytes -= neededBytes
      shareBytes = send.unsentBytes
      send.sentAtMs ??= startedAtMs + elapsedMs - capacityBytes / bytesPerMs
      sentCount += 1
    }
    for (const send of this._sends.splice(0, sentCount)) send.unsentBytes = 0
    for (const send of this._sends) send.unsentBytes -= shareBytes + capacityBytes / this._sends.length
  }
}
