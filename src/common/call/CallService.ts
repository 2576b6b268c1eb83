import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { Call } from './Call.js'
import { CallRun } from './CallRun.js'
import type { CallOutcome } from './CallOutcome.js'
import type { ICallTransport } from './ICallTransport.js'

/** Forwards calls to upstreams, and logs and counts their outcomes. */
export class CallService {
  constructor (
    private readonly _fleet: IFleet,
    private readonly _transport: ICallTransport,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {}

  async run (call: Call): Promise<CallOutcome> {
    const startedAtMs = performance.now()
    const candidates = (): FleetUpstream[] => this._fleet.listAvailable(call.service)
    const run = new CallRun(call, candidates, this._transport, this._logger)
    const outcome = await run.run()
    const durationMs = performance.now() - startedAtMs
    this._metrics.count('calls', { route: call.route.name, outcome: outcome.kind })
    this._metrics.duration('call', durationMs, { route: call.route.name })
    const fields = { request: call.requestId, fingerprint: call.fingerprint, route: call.route.name, duration_ms: Math.round(durationMs), tried: run.attemptedUpstreamIds.join(','), outcome: outcome.kind }
    if (outcome.kind === 'answer') this._logger.info({ ...fields, status: outcome.answer.status, upstream: outcome.upstream }, 'call_done')
    else this._logger.warn({ ...fields, reason: 'reason' in outcome ? outcome.reason : undefined }, 'call_failed')
    return outcome
  }
}
