import { err, ok, ResultAsync, type Result } from 'neverthrow'
import type { IContractStore } from '../contract/IContractStore.js'
import { contractStoreId } from '../contract/contractStoreId.js'
import type { ISuspectTable } from '../crash/ISuspectTable.js'
import { suspectTableId } from '../crash/suspectTableId.js'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { metricsId } from '../metrics/metricsId.js'
import type { Contract } from '../schema/Contract.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import { createBalancer } from '../upstream/balance/createBalancer.js'
import { hashId } from '../hash/hashId.js'
import type { IHash } from '../hash/IHash.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import type { IUpstreamUsage } from '../upstream/IUpstreamUsage.js'
import { pickByHash } from '../upstream/balance/pickByHash.js'
import type { Upstream } from '../upstream/Upstream.js'
import { upstreamTableId } from '../upstream/upstreamTableId.js'
import { upstreamUsageId } from '../upstream/upstreamUsageId.js'
import type { AdmissionError } from './AdmissionError.js'
import type { AdmissionRequest } from './AdmissionRequest.js'
import { checkArrival } from './checkArrival.js'
import { createCapacityPolicy } from './createCapacityPolicy.js'
import { OrganisationCounts } from './OrganisationCounts.js'
import { estimateService } from './estimateService.js'
import type { IAdmission } from './IAdmission.js'
import { wouldMissDeadline } from './wouldMissDeadline.js'
import type { ISlot } from './ISlot.js'
import { ServiceQueue } from './ServiceQueue.js'
import { SlotOpener } from './SlotOpener.js'
import { SuspectGuard } from './SuspectGuard.js'
import type { Waiter } from './Waiter.js'
import { applySlowStart } from './applySlowStart.js'

/** Interval at which queues are dispatched without an event, because estimates of other entries' load decay with time. */
const DISPATCH_INTERVAL_MS = 50
/** How long requests stay queued while all upstreams of their service are unavailable; a restart often takes less. */
const MAX_UNAVAILABLE_MS = 2_000
const MIN_RETRY_AFTER_MS = 50
const MAX_RETRY_AFTER_MS = 5_000
const DEFAULT_LIMITS: Contract['limits'] = { share: 1, max_in_flight: 256, max_queue: 1024, key_window_s: 3600 }

/** IAdmission per entry; see section 5.13 of the design page. */
export class Admission extends Disposable implements IAdmission {
  private readonly _services = new Map<string, ServiceQueue>()
  private readonly _counts = new OrganisationCounts()
  private readonly _guard: SuspectGuard
  private readonly _slots: SlotOpener
  private _timer?: ReturnType<typeof setInterval>
  private _isDispatching = false

  /** `_random` returns numbers from 0 up to, not including, 1. */
  constructor (
    private readonly _random: () => number,
    @upstreamTableId private readonly _table: IUpstreamTable,
    @upstreamUsageId _usage: IUpstreamUsage,
    @contractStoreId private readonly _contracts: IContractStore,
    @suspectTableId private readonly _suspects: ISuspectTable,
    @hashId private readonly _hasher: IHash,
    @entrySettingsId private readonly _settings: EntrySettings,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._guard = new SuspectGuard(_suspects)
    this._slots = new SlotOpener(this._counts, this._guard, _usage, _metrics)
    this._register(_table.onCrash((crash) => _suspects.recordCrash(crash.upstream.id, crash.bootId, crash.fingerprints)))
    this._register(_table.onChange(() => this._dispatchAll()))
    this._register(toDisposable(() => clearInterval(this._timer)))
  }

  acquire (request: AdmissionRequest): ResultAsync<ISlot, AdmissionError> {
    return new ResultAsync(new Promise<Result<ISlot, AdmissionError>>((resolve) => {
      const queue = this._serviceQueue(request.service)
      const rejection = checkArrival(request, queue, this._table, this._suspects)
      if (rejection !== undefined) {
        this._countRejection(request, rejection)
        resolve(err(rejection))
        return
      }
      this._enqueue(request, queue, resolve)
    }))
  }

  queued (service: string): number {
    return this._services.get(service)?.size ?? 0
  }

  private _enqueue (request: AdmissionRequest, queue: ServiceQueue, resolve: (result: Result<ISlot, AdmissionError>) => void): void {
    const nowMs = performance.now()
    const onAbort = (): void => this._drop(queue, waiter, { kind: 'caller_gone', message: 'caller disconnected' })
    const timer = setTimeout(() => {
      this._drop(queue, waiter, { kind: 'deadline_unreachable', message: 'deadline expired while the request was queued' })
    }, request.deadlineAtMs - nowMs)
    const waiter: Waiter = {
      request,
      enqueuedAtMs: nowMs,
      settle: (result) => {
        clearTimeout(timer)
        request.signal?.removeEventListener('abort', onAbort)
        this._counts.addQueued(request.organisation, -1)
        resolve(result)
      }
    }
    request.signal?.addEventListener('abort', onAbort)
    queue.recordArrival(request.size, nowMs)
    queue.queueOf(request.size).add(waiter)
    this._counts.addQueued(request.organisation, 1)
    this._dispatch(queue)
    if (this._counts.queued(request.organisation) > this._limitsOf(request.organisation).max_queue) {
      const { slotIntervalMs } = estimateService(this._table.available(request.service), request)
      const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(queue.size * slotIntervalMs)))
      this._drop(queue, waiter, { kind: 'queue_full', message: `organisation ${request.organisation} exceeds its limit of queued requests`, retryAfterMs })
    }
    this._updateTimer()
  }

  private _drop (queue: ServiceQueue, waiter: Waiter, error: AdmissionError): void {
    if (queue.queueOf(waiter.request.size).remove(waiter)) {
      this._countRejection(waiter.request, error)
      waiter.settle(err(error))
    }
  }

  private _dispatchAll (): void {
    if (this._isDispatching) {
      return
    }
    for (const queue of this._services.values()) {
      if (queue.size > 0) this._dispatch(queue)
    }
    this._updateTimer()
  }

  private _dispatch (queue: ServiceQueue): void {
    this._isDispatching = true
    try {
      this._dropUnavailable(queue, performance.now())
      while (queue.size > 0 && this._dispatchNext(queue)) {
        // Each dispatch changes which upstreams have capacity.
      }
    } finally {
      this._isDispatching = false
    }
  }

  private _dispatchNext (queue: ServiceQueue): boolean {
    const nowMs = performance.now()
    const withCapacity = {
      short: this._upstreamsWithCapacity(queue, 'short', nowMs),
      long: this._upstreamsWithCapacity(queue, 'long', nowMs)
    }
    if (withCapacity.short.length === 0 && withCapacity.long.length === 0) {
      return false
    }
    const taken = queue.take((waiter) => this._selectUpstream(queue, waiter, withCapacity[waiter.request.size], nowMs))
    if (taken === undefined) {
      return false
    }
    taken.waiter.settle(ok(this._slots.open(taken.waiter, taken.selected, nowMs, () => this._dispatchAll())))
    return true
  }

  private _upstreamsWithCapacity (queue: ServiceQueue, size: 'short' | 'long', nowMs: number): Upstream[] {
    if (queue.queueOf(size).size === 0) {
      return []
    }
    const isReservingForShort = queue.isReservingForShort(nowMs)
    const isLongOverdue = queue.isLongOverdue(nowMs)
    return this._table.available(queue.service).filter((upstream) => queue.capacityPolicy.hasCapacity(upstream, size, isReservingForShort, isLongOverdue, nowMs))
  }

  private _selectUpstream (queue: ServiceQueue, waiter: Waiter, withCapacity: Upstream[], nowMs: number): Upstream | undefined {
    const { request } = waiter
    const { organisation, fingerprint, excluded } = request
    if (this._suspects.isBlocked(fingerprint)) {
      this._drop(queue, waiter, { kind: 'request_blocked', message: 'this request crashed the upstreams that ran it' })
      return undefined
    }
    const isAtLimit = this._counts.inFlight(organisation) >= this._limitsOf(organisation).max_in_flight
    if (isAtLimit || this._guard.mustWait(request.service, fingerprint)) {
      return undefined
    }
    const candidates = excluded === undefined ? withCapacity : withCapacity.filter((upstream) => !excluded.has(upstream.id))
    if (candidates.length === 0) {
      return undefined
    }
    if (this._guard.isSuspect(fingerprint)) {
      // All entries send a suspect to the same upstream, so that its repeats cannot crash a second one.
      return pickByHash(this._hasher, fingerprint, candidates)
    }
    const upstream = queue.balancer.pick(applySlowStart(candidates, nowMs, this._random), request)
    if (wouldMissDeadline(waiter, upstream, nowMs)) {
      this._drop(queue, waiter, { kind: 'deadline_unreachable', message: 'remaining time is shorter than the service time' })
      return undefined
    }
    return upstream
  }

  /** Rejects the queued requests of a service whose upstreams have all been down or leaving for too long. */
  private _dropUnavailable (queue: ServiceQueue, nowMs: number): void {
    if (this._table.available(queue.service).length > 0 || queue.size === 0) {
      queue.unavailableSinceMs = undefined
      return
    }
    queue.unavailableSinceMs ??= nowMs
    if (nowMs - queue.unavailableSinceMs >= MAX_UNAVAILABLE_MS) {
      for (const waiter of queue.all()) {
        this._drop(queue, waiter, { kind: 'no_upstream', message: `no upstream of service ${queue.service} is available` })
      }
    }
  }

  /** Runs the dispatch timer only while requests are queued. */
  private _updateTimer (): void {
    const isWaiting = [...this._services.values()].some((queue) => queue.size > 0)
    if (isWaiting && this._timer === undefined) {
      this._timer = setInterval(() => this._dispatchAll(), DISPATCH_INTERVAL_MS)
    } else if (!isWaiting && this._timer !== undefined) {
      clearInterval(this._timer)
      this._timer = undefined
    }
  }

  private _countRejection (request: AdmissionRequest, error: AdmissionError): void {
    this._metrics.count('admission_refused_total', { service: request.service, kind: error.kind })
  }

  private _limitsOf (organisation: string): Contract['limits'] {
    return this._contracts.current(organisation)?.contract.limits ?? DEFAULT_LIMITS
  }

  private _serviceQueue (service: string): ServiceQueue {
    let queue = this._services.get(service)
    if (queue === undefined) {
      const settings = this._settings.services.find((item) => item.name === service)
      const balancer = createBalancer(settings?.balancer ?? 'expected-wait', this._random, this._hasher)
      const capacityPolicy = createCapacityPolicy(settings?.admission ?? 'bounded')
      queue = new ServiceQueue(service, balancer, capacityPolicy, (organisation) => this._limitsOf(organisation).share)
      this._services.set(service, queue)
    }
    return queue
  }
}
