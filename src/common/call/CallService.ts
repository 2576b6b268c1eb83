import { err, ok, type Result } from 'neverthrow'
import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import { LinkModel } from '../link/LinkModel.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { ICallSuspects } from '../suspect/ICallSuspects.js'
import { CallStart } from '../usage/CallStart.js'
import type { IUsageMeter } from '../usage/IUsageMeter.js'
import type { Call } from './Call.js'
import { CallRun } from './CallRun.js'
import type { CallOutcome } from './CallOutcome.js'
import type { IAttemptGuard } from './IAttemptGuard.js'
import type { ICallTransport } from './ICallTransport.js'
import { noAttemptGuard } from './noAttemptGuard.js'
import { SuspectAttemptGuard } from './SuspectAttemptGuard.js'
import { TrialAttemptGuard } from './TrialAttemptGuard.js'

/** A thirtieth of the slowest link in use. */
const MIN_BYTES_PER_MS = 125

/** Forwards calls to upstreams, and logs and counts their outcomes. */
export class CallService {
  /** This host's link to upstreams; it tells when bodies have been sent, and holds none back. */
  private readonly _link = new LinkModel(Number.POSITIVE_INFINITY, MIN_BYTES_PER_MS)

  constructor (
    private readonly _fleet: IFleet,
    private readonly _transport: ICallTransport,
    private readonly _suspects: ICallSuspects,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics,
    /** Counts the requests of organisations; undefined without usage reports. */
    private readonly _meter?: IUsageMeter
  ) {}

  async run (call: Call): Promise<CallOutcome> {
    const startedAtMs = performance.now()
    const guard = await this._admit(call)
    if (guard.isErr()) return this._onEnded(call, guard.error, startedAtMs, [])
    const candidates = (): FleetUpstream[] => this._fleet.listAvailable(call.service)
    const start = this._meter === undefined || call.organisation === undefined ? undefined : new CallStart(this._meter, call.organisation)
    const run = new CallRun(call, candidates, this._transport, guard.value, this._link, this._logger, start)
    const outcome = await run.run()
    this._countFirstAttempt(call, run)
    return this._onEnded(call, outcome, startedAtMs, run.attemptedUpstreamIds)
  }

  /** Returns the guard of the call's attempts, or the outcome of a call that must not be sent. */
  private async _admit ({ fingerprint }: Call): Promise<Result<IAttemptGuard, CallOutcome>> {
    if (fingerprint === undefined) return ok(noAttemptGuard)
    const admission = await this._suspects.admit(fingerprint)
    switch (admission.kind) {
      case 'admitted': return ok(new SuspectAttemptGuard(this._suspects, fingerprint))
      case 'trial': return ok(new TrialAttemptGuard(this._suspects, fingerprint))
      case 'refused': return err({ kind: 'not_run', reason: 'the request crashed the upstreams that ran it', retryAfterMs: admission.retryAfterMs })
    }
  }

  /** Counts the first choice, so that the spread of calls over upstreams and the rejected share are visible. */
  private _countFirstAttempt (call: Call, run: CallRun): void {
    const upstream = run.attemptedUpstreamIds[0]
    if (upstream === undefined) return
    this._metrics.count('call_first_attempts', { service: call.service, upstream, refused: String(run.isFirstAttemptRejected) })
  }

  /** Logs and counts the outcome of a call, and returns it. */
  private _onEnded (call: Call, outcome: CallOutcome, startedAtMs: number, attemptedUpstreamIds: readonly string[]): CallOutcome {
    const durationMs = performance.now() - startedAtMs
    this._metrics.count('calls', { route: call.route.name, outcome: outcome.kind })
    this._metrics.duration('call', durationMs, { route: call.route.name })
    const fields = { request: call.requestId, fingerprint: call.fingerprint, route: call.route.name, duration_ms: Math.round(durationMs), tried: attemptedUpstreamIds.join(','), outcome: outcome.kind }
    if (outcome.kind === 'answer') this._logger.info({ ...fields, status: outcome.answer.status, upstream: outcome.upstream }, 'call_done')
    else this._logger.warn({ ...fields, reason: 'reason' in outcome ? outcome.reason : undefined }, 'call_failed')
    return outcome
  }
}
