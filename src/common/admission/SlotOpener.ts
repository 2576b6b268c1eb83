import type { IMetrics } from '../metrics/IMetrics.js'
import type { IUpstreamUsage } from '../upstream/IUpstreamUsage.js'
import type { Upstream } from '../upstream/Upstream.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import type { ISlot } from './ISlot.js'
import { LimitController } from './LimitController.js'
import type { OrganisationCounts } from './OrganisationCounts.js'
import { Slot } from './Slot.js'
import type { SlotResult } from './SlotResult.js'
import type { SuspectGuard } from './SuspectGuard.js'
import type { Waiter } from './Waiter.js'

/** Opens slots, and records what the results of their requests say about upstreams and suspects. */
export class SlotOpener {
  private readonly _limitController = new LimitController()

  constructor (
    private readonly _counts: OrganisationCounts,
    private readonly _guard: SuspectGuard,
    private readonly _usage: IUpstreamUsage,
    private readonly _metrics: IMetrics
  ) {}

  /** Opens the slot that a queued request has been given. `onReleased` is called once its result has been recorded. */
  open (waiter: Waiter, upstream: Upstream, nowMs: number, onReleased: () => void): ISlot {
    const { request } = waiter
    const { organisation, service, size, units, fingerprint } = request
    const endSuspectRun = this._guard.isSuspect(fingerprint) ? this._guard.startRun(service, fingerprint) : undefined
    const inFlight = this._usage.beginRequest(upstream.id, { size, units, fingerprint })
    this._counts.addInFlight(organisation, 1)
    const queuedMs = nowMs - waiter.enqueuedAtMs
    this._metrics.duration('queue_wait', queuedMs, { service, size })
    return new Slot(upstream, queuedMs, (result) => {
      const outstanding = upstream.outstanding
      this._counts.addInFlight(organisation, -1)
      endSuspectRun?.(result)
      this._recordResult(upstream, request, result)
      this._usage.endRequest(upstream.id, inFlight, result)
      if (result.kind === 'completed') {
        this._limitController.onCompleted(upstream, size, outstanding, result.durationMs, performance.now())
      }
      onReleased()
    })
  }

  private _recordResult (upstream: Upstream, request: AdmissionRequest, result: SlotResult): void {
    if (result.kind === 'completed') {
      this._guard.onCompleted(request.fingerprint)
    } else if (result.kind === 'failed' && result.sent) {
      this._guard.onReset(request.fingerprint, upstream)
    } else if (result.kind === 'timeout') {
      this._limitController.onTimeout(upstream, performance.now())
    }
  }
}
