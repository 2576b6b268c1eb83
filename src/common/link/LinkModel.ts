import type { LinkSend } from './LinkSend.js'
import { RateSampler } from './RateSampler.js'
import { sizeClassOf } from './sizeClassOf.js'
import { UnsentBytes } from './UnsentBytes.js'

/** Time for which the unsent bytes of a size class may occupy the link. Well below the time after which a silent run is given up. */
const WINDOW_MS = 200
/** Rate of the slowest link in use, 31.5 Mbit/s, which is assumed until one has been measured. */
const INITIAL_BYTES_PER_MS = 3937.5
const INITIAL_WINDOW_BYTES = INITIAL_BYTES_PER_MS * WINDOW_MS
/** Sends of a size class that may be on the link if they take longer than this; fewer, so that they arrive one after another. */
const LONG_SEND_MS = 1000
const MIN_LONG_SENDS = 2
/** Responses are that much later than modelled for other reasons than the rate. */
const LATE_MS = 100
/** Shorter queues may be jitter. */
const MIN_QUEUE_MS = 50
/** A window that is not filled by the link grows by this multiple of the bytes that arrive. */
const GROWTH_FACTOR = 2
/** On a link without a response so far, a send holds others until this time after it was sent, as modelled. Its receiver may pause. */
const HOLD_MS = 500
/** Age up to which a response proves the rate, by a sample of at least this share of it. */
const PROVEN_AGE_MS = 10_000
const PROVEN_SHARE = 0.5
/** Share by which a size class forgets a shorter time from start to response with each response. */
const BASE_TIME_DRIFT = 0.01

/** Rate and unsent bytes of one link, estimated from the sends that have had a response and those that have not. */
export class LinkModel {
  private readonly _sampler = new RateSampler()
  private readonly _unsent = new UnsentBytes()
  private readonly _unanswered = new Set<LinkSend>()
  private _windowBytes = INITIAL_WINDOW_BYTES
  private _isLimiting = false
  private _hasResponded = false
  private _provenAtMs = Number.NEGATIVE_INFINITY
  /** Whether a send has been given up since the last response. */
  private _isDoubtful = false
  /** The unanswered sends that were started while the link was in doubt, by size class. */
  private readonly _probes = new Map<number, LinkSend>()
  private _loweredAtMs = Number.NEGATIVE_INFINITY
  /** Shortest recent time from start to response by size class. */
  private readonly _baseTimeMs = new Map<number, number>()

  /**
   * `minSends` of a size class may be on the link whatever the window is, since one connection seldom fills it. Sends that
   * are given up lower the rate to `minBytesPerMs` at most.
   */
  constructor (private readonly _minSends: number, private readonly _minBytesPerMs: number, private _bytesPerMs = INITIAL_BYTES_PER_MS) {}

  get bytesPerMs (): number {
    return this._bytesPerMs
  }

  /** Whether sends have recently taken as long as if this link limits them. */
  get isLimiting (): boolean {
    return this._isLimiting
  }

  get unsentBytes (): number {
    this._update()
    return this._unsent.total
  }

  /** Whether a body may be sent now. */
  admits (bytes: number): boolean {
    const nowMs = this._update()
    const sizeClass = sizeClassOf(bytes)
    if (this._isDoubtful) return !this._probes.has(sizeClass)
    const classBytes = this._unsent.ofClass(sizeClass) + bytes
    const minSends = classBytes > LONG_SEND_MS * this._bytesPerMs ? Math.min(MIN_LONG_SENDS, this._minSends) : this._minSends
    // Before the first response, the rate is a guess.
    const count = this._hasResponded ? this._unsent.countOfClass(sizeClass) : this._countHolding(sizeClass, nowMs)
    return count < minSends || (this._hasResponded && classBytes <= this._windowBytes)
  }

  start (bytes: number): LinkSend {
    const startedAtMs = this._update()
    const classBytes = this._unsent.ofClass(sizeClassOf(bytes)) + bytes
    for (const other of this._unanswered) other.linkBytes += bytes
    const send: LinkSend = { bytes, startedAtMs, classBytes, unsentBytes: bytes, linkBytes: this._unsent.total + bytes, carriedBytes: 0 }
    this._unsent.add(send)
    this._unanswered.add(send)
    if (this._isDoubtful) this._probes.set(sizeClassOf(bytes), send)
    return send
  }

  /** When the whole body had been sent, as modelled; undefined before. */
  sentAtMs (send: LinkSend): number | undefined {
    this._update()
    return send.sentAtMs
  }

  /** Records the response to a send, which proves that its whole body has arrived. */
  respond (send: LinkSend): void {
    if (!this._unanswered.delete(send)) return
    const nowMs = this._update()
    this._unsent.remove(send)
    send.unsentBytes = 0
    send.sentAtMs ??= nowMs
    this._hasResponded = true
    this._isDoubtful = false
    this._probes.clear()
    for (const other of this._unanswered) if (other.startedAtMs <= send.startedAtMs) other.carriedBytes += send.bytes
    this._sampler.record(send, nowMs)
    const sample = this._sampler.best(nowMs)
    this._raise(sample, nowMs)
    if (sample >= PROVEN_SHARE * this._bytesPerMs) this._provenAtMs = nowMs
    this._unsent.recordArrival(send)
    this._adjust(send, nowMs)
  }

  /**
   * Ends a send without a response; `isGivenUp` if no response came in time. Its unsent bytes stay on the link, since the
   * system still sends what it has taken.
   */
  end (send: LinkSend, isGivenUp: boolean): void {
    if (!this._unanswered.has(send)) return
    const nowMs = this._update()
    if (isGivenUp && send.carriedBytes < send.bytes) this._doubt(nowMs)
    this._unanswered.delete(send)
    if (this._probes.get(sizeClassOf(send.bytes)) === send) this._probes.delete(sizeClassOf(send.bytes))
  }

  /** Either the link is slow or the receiver hangs. Until a response tells, sends get more time, one of each size class at once. */
  private _doubt (nowMs: number): void {
    this._isDoubtful = true
    this._isLimiting = true
    this._loweredAtMs = nowMs
    this._setRate(Math.max(this._minBytesPerMs, this._sampler.best(nowMs), Math.min(this._bytesPerMs / 2, INITIAL_BYTES_PER_MS)), nowMs)
    this._windowBytes = this._bytesPerMs * WINDOW_MS
  }

  /**
   * Whether the link may be why a send has had no response: it has carried less than its body since, no response of the last
   * seconds proves the rate at which the body was sent, as modelled, and at the lowest rate what shared the link explains
   * half of the time.
   */
  isSuspect (send: LinkSend): boolean {
    const nowMs = performance.now()
    const explainedMs = send.linkBytes / this._minBytesPerMs
    return send.carriedBytes < send.bytes && nowMs > this._provenAtMs + PROVEN_AGE_MS && explainedMs >= (nowMs - send.startedAtMs) / 2
  }

  private _update (): number {
    const nowMs = performance.now()
    this._unsent.update(nowMs, this._bytesPerMs)
    return nowMs
  }

  private _countHolding (sizeClass: number, nowMs: number): number {
    return [...this._unanswered].filter(send => sizeClassOf(send.bytes) === sizeClass && isHolding(send, nowMs)).length
  }

  /** Compares the time of a response with the modelled one: the window grows unless the link explains the time. */
  private _adjust (send: LinkSend, nowMs: number): void {
    const tookMs = nowMs - send.startedAtMs
    const modelledMs = (send.sentAtMs ?? nowMs) - send.startedAtMs
    const queuedMs = tookMs - this._updateBaseTime(sizeClassOf(send.bytes), tookMs)
    // Other sends say nothing about the window.
    if (send.classBytes < this._windowBytes / 2) return
    if (queuedMs < Math.max(MIN_QUEUE_MS, modelledMs / 2)) {
      const growthBytes = Math.min(GROWTH_FACTOR * send.bytes, this._windowBytes)
      this._windowBytes = Math.max(this._windowBytes + growthBytes, send.classBytes + growthBytes, this._bytesPerMs * WINDOW_MS)
      this._isLimiting = false
      return
    }
    // Once for all sends that were on the link at the same time.
    if (queuedMs > modelledMs + LATE_MS && send.startedAtMs > this._loweredAtMs) this._lower(nowMs)
    this._windowBytes = this._bytesPerMs * WINDOW_MS
    this._isLimiting = true
  }

  private _updateBaseTime (sizeClass: number, tookMs: number): number {
    const knownMs = this._baseTimeMs.get(sizeClass) ?? tookMs
    const baseMs = Math.min(tookMs, knownMs + BASE_TIME_DRIFT * (tookMs - knownMs))
    this._baseTimeMs.set(sizeClass, baseMs)
    return baseMs
  }

  /** Sets the rate, also for the time since the sends without a response started. */
  private _setRate (bytesPerMs: number, nowMs: number): void {
    for (const send of this._unanswered) this._unsent.rescale(send, bytesPerMs / this._bytesPerMs, nowMs)
    this._bytesPerMs = bytesPerMs
  }

  /** Raises the rate to what a response proves. */
  private _raise (bytesPerMs: number, nowMs: number): void {
    if (bytesPerMs > this._bytesPerMs) this._setRate(bytesPerMs, nowMs)
  }

  /** Lowers the rate, to half at most and not below what responses prove. */
  private _lower (nowMs: number): void {
    this._loweredAtMs = nowMs
    this._setRate(Math.max(this._sampler.best(nowMs), this._bytesPerMs / 2), nowMs)
  }
}

function isHolding ({ sentAtMs }: LinkSend, nowMs: number): boolean {
  return sentAtMs === undefined || nowMs < sentAtMs + HOLD_MS
}
