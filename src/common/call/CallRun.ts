import { chooseUpstream } from '../fleet/chooseUpstream.js'
import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { Call } from './Call.js'
import type { CallAttemptOutcome } from './CallAttemptOutcome.js'
import type { CallOutcome } from './CallOutcome.js'
import type { ICallTransport } from './ICallTransport.js'

/** Share of the target latency after which a second upstream is asked as well. */
const HEDGE_TARGET_SHARE = 0.6
const MIN_HEDGE_MS = 40
/** Upstreams that may refuse a request as full, beyond those that may run it. */
const EXTRA_SENDS = 2
/** Offered to callers when all upstreams are full. */
const FULL_RETRY_AFTER_MS = 150
/** Offered to callers when no upstream can be reached. */
const NONE_RETRY_AFTER_MS = 400

interface Attempt { upstream: FleetUpstream, controller: AbortController, end: Promise<AttemptEnded> }
interface AttemptEnded { attempt: Attempt, end: CallAttemptOutcome }

/** One call: attempts at different upstreams until one answers, within the limits of its route. */
export class CallRun {
  readonly attemptedUpstreamIds: string[] = []
  private readonly _running = new Set<Attempt>()
  private readonly _usedIds = new Set<string>()
  private _mayHaveRunCount = 0
  private _refusals = 0
  private _lastReason = 'no upstream'
  private _lastAnswer?: { answer: CallOutcome & { kind: 'answer' } }

  constructor (
    private readonly _call: Call,
    private readonly _candidates: () => FleetUpstream[],
    private readonly _transport: ICallTransport,
    private readonly _logger: ILogger
  ) {}

  async run (): Promise<CallOutcome> {
    const outcome = await this._loop()
    for (const attempt of this._running) attempt.controller.abort()
    return outcome
  }

  private async _loop (): Promise<CallOutcome> {
    const { signal } = this._call
    for (;;) {
      if (signal.aborted) return { kind: 'cancelled' }
      if (this._remainingMs() <= 0) return this._onDeadline()
      const hasStarted = this._mayStart() && this._start()
      if (!hasStarted && this._running.size === 0) return this._onExhausted()
      const ended = await this._nextEnd(this._hedgeMs())
      if (ended === undefined) continue
      const outcome = this._onEnd(ended)
      if (outcome !== undefined) return outcome
    }
  }

  private _remainingMs (): number {
    return this._call.deadlineAtMs - performance.now()
  }

  private _mayStart (): boolean {
    const { maxAttempts, kind } = this._call.route
    if (this._usedIds.size >= maxAttempts + EXTRA_SENDS) return false
    // A running attempt may come to run on its upstream, so it counts like one that has.
    const mayRun = this._mayHaveRunCount + this._running.size
    if (kind !== 'idempotent') return mayRun === 0
    return mayRun < maxAttempts
  }

  private _start (): boolean {
    const upstream = chooseUpstream(this._candidates().filter(candidate => !this._usedIds.has(candidate.member.id)))
    if (upstream === undefined) return false
    if (this._running.size > 0) {
      this._logger.info({ request: this._call.requestId, silent: [...this._running].map(attempt => attempt.upstream.member.id).join(','), upstream: upstream.member.id, remaining_ms: Math.round(this._remainingMs()) }, 'call_hedged')
    }
    this._usedIds.add(upstream.member.id)
    this.attemptedUpstreamIds.push(upstream.member.id)
    const controller = new AbortController()
    const attempt = { upstream, controller } as unknown as Attempt
    attempt.end = this._send(attempt)
    this._running.add(attempt)
    return true
  }

  private async _send (attempt: Attempt): Promise<AttemptEnded> {
    const { upstream } = attempt
    const startedAtMs = performance.now()
    upstream.outstanding += 1
    const end = await this._transport.send(this._call, upstream, attempt.controller.signal)
    upstream.outstanding -= 1
    if (end.load !== undefined) upstream.recordLoad(end.load)
    if (end.kind === 'answer') upstream.recordResponseTime(performance.now() - startedAtMs)
    else if (end.kind === 'broken' || (end.reason !== 'cancelled' && end.reason !== 'deadline' && end.reason !== 'full')) upstream.recordFailure()
    return { attempt, end }
  }

  /** Time until another upstream is asked beside those that are silent. */
  private _hedgeMs (): number {
    if (this._call.route.kind !== 'idempotent' || !this._mayStart()) return Number.POSITIVE_INFINITY
    return Math.max(MIN_HEDGE_MS, this._call.route.targetLatencyMs * HEDGE_TARGET_SHARE)
  }

  private async _nextEnd (hedgeMs: number): Promise<AttemptEnded | undefined> {
    let timer: NodeJS.Timeout | undefined
    let onAbort = (): void => {}
    const wake = new Promise<undefined>(resolve => {
      onAbort = () => resolve(undefined)
      timer = setTimeout(() => resolve(undefined), Math.max(0, Math.min(hedgeMs, this._remainingMs())))
      this._call.signal.addEventListener('abort', onAbort)
    })
    const ended = await Promise.race([wake, ...[...this._running].map(async attempt => await attempt.end)])
    clearTimeout(timer)
    this._call.signal.removeEventListener('abort', onAbort)
    return ended
  }

  private _onEnd ({ attempt, end }: AttemptEnded): CallOutcome | undefined {
    this._running.delete(attempt)
    const upstream = attempt.upstream.member.id
    if (end.kind === 'not_run') {
      this._refusals += end.reason === 'full' ? 1 : 0
      this._lastReason = end.reason
      this._log(upstream, end.reason)
      return undefined
    }
    this._mayHaveRunCount += 1
    if (end.kind === 'broken') {
      this._lastReason = end.reason
      this._log(upstream, end.reason)
      return undefined
    }
    const answer = { kind: 'answer' as const, answer: end.answer, upstream, attempts: this._usedIds.size }
    if (end.answer.status < 500 || this._call.route.kind !== 'idempotent') return answer
    // Another upstream may answer a failed call that may be repeated; this answer is kept as the last resort.
    this._lastAnswer = { answer }
    this._log(upstream, `status ${end.answer.status}`)
    return undefined
  }

  private _log (upstream: string, reason: string): void {
    this._logger.info({ request: this._call.requestId, upstream, reason, remaining_ms: Math.round(this._remainingMs()) }, 'call_attempt_failed')
  }

  private _onExhausted (): CallOutcome {
    if (this._lastAnswer !== undefined) return this._lastAnswer.answer
    if (this._mayHaveRunCount > 0) return { kind: 'unknown', reason: this._lastReason }
    const retryAfterMs = this._refusals > 0 ? FULL_RETRY_AFTER_MS : NONE_RETRY_AFTER_MS
    return { kind: 'not_run', reason: this._refusals > 0 ? 'all upstreams are full' : this._lastReason, retryAfterMs }
  }

  private _onDeadline (): CallOutcome {
    if (this._lastAnswer !== undefined) return this._lastAnswer.answer
    const mayHaveRun = this._mayHaveRunCount + this._running.size > 0
    return mayHaveRun
      ? { kind: 'timeout', reason: 'no answer in time' }
      : { kind: 'not_run', reason: 'no upstream in time', retryAfterMs: FULL_RETRY_AFTER_MS }
  }
}
