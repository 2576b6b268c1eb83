import type { FleetUpstream } from '../fleet/FleetUpstream.js'
import type { IFleet } from '../fleet/IFleet.js'
import { Disposable } from '../kernel/Disposable.js'
import { startInterval } from '../kernel/startInterval.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import type { IRouteTable } from '../routing/IRouteTable.js'
import type { ScalingConfig } from '../routing/ScalingConfig.js'
import { DemandHistory } from './DemandHistory.js'
import type { DomainCapacity } from './DomainCapacity.js'
import type { IScalingClient } from './IScalingClient.js'
import type { IScalingWorkload } from './IScalingWorkload.js'
import { planScaling } from './planScaling.js'
import type { ScalingOrder } from './ScalingOrder.js'

const TICK_MS = 500
/** The highest demand of this time decides what is given back; it covers many steps of a trainer. */
const PEAK_WINDOW_MS = 120_000
/** Added to the start time of an upstream until its record has to be in the list. */
const START_MARGIN_MS = 3000
/** Pause after the platform had no upstream of a kind, or did not respond. */
const RETRY_MS = 10_000

interface PendingOrder { count: number, untilMs: number }

interface AutoscalerOptions {
  /** Name of this entry in orders. */
  holder: string
  /** Fencing token while this entry may perform the duty; undefined otherwise. */
  token: () => number | undefined
  /** Whether the list of upstreams is up to date, so that what is missing there does not run. */
  isFleetKnown: () => boolean
}

/** Orders upstreams of the services whose number may change, while this entry performs that duty. */
export class Autoscaler extends Disposable {
  private readonly _histories = new Map<string, DemandHistory>()
  /** Accepted orders whose upstreams may not be listed yet, by service, failure domain and kind. */
  private readonly _pending = new Map<string, PendingOrder>()
  private readonly _blockedUntilMs = new Map<string, number>()
  private _isOrdering = false

  constructor (
    private readonly _options: AutoscalerOptions,
    private readonly _fleet: IFleet,
    private readonly _routes: IRouteTable,
    private readonly _workload: IScalingWorkload,
    private readonly _client: IScalingClient,
    private readonly _logger: ILogger,
    private readonly _metrics: IMetrics
  ) {
    super()
    this._register(startInterval(() => this._tick(), TICK_MS))
  }

  private _tick (): void {
    if (this._options.token() === undefined) {
      // Only the leader sees the demand of batches, so what another entry recorded would look like none.
      this._histories.clear()
      return
    }
    for (const { name, scaling } of this._routes.config?.services.values() ?? []) {
      if (scaling === undefined) continue
      const upstreams = this._fleet.listAvailable(name)
      const history = this._histories.get(name) ?? new DemandHistory(PEAK_WINDOW_MS)
      this._histories.set(name, history)
      history.record({ running: sum(upstreams.map(({ outstanding }) => outstanding)), waiting: this._workload.countWaitingItemsOfService(name) })
      if (this._isOrdering || !this._options.isFleetKnown() || upstreams.length === 0) continue
      const order = this._plan(name, scaling, upstreams, history)
      const token = this._options.token()
      if (order !== undefined && token !== undefined) this._sendInBackground(order, scaling, token)
    }
  }

  private _plan (service: string, config: ScalingConfig, upstreams: readonly FleetUpstream[], history: DemandHistory): ScalingOrder | undefined {
    // The price of a failure domain may be missing, but its upstreams count.
    const names = new Set([...config.priceByDomain.keys(), ...upstreams.map(({ member }) => member.failureDomain)])
    const domains = [...names].map(failureDomain => this._capacityOf(service, failureDomain, upstreams))
    return planScaling({
      service,
      config,
      domains,
      slotsPerUpstream: Math.max(1, ...upstreams.map(({ member }) => member.slots)),
      sustained: history.sustained(config.bootMs),
      peakSlots: history.peakSlots(),
      mayOrder: (failureDomain, isSpot) => performance.now() >= (this._blockedUntilMs.get(toKey({ service, failureDomain, isSpot })) ?? 0)
    })
  }

  private _capacityOf (service: string, failureDomain: string, upstreams: readonly FleetUpstream[]): DomainCapacity {
    const local = upstreams.filter(({ member }) => member.failureDomain === failureDomain)
    const spot = local.filter(({ member }) => member.isSpot === true).length
    return {
      failureDomain,
      regular: this._withPending(toKey({ service, failureDomain, isSpot: false }), local.length - spot),
      spot: this._withPending(toKey({ service, failureDomain, isSpot: true }), spot)
    }
  }

  /** Counts what was ordered until its upstreams have had time to start or to leave. */
  private _withPending (key: string, listed: number): number {
    const pending = this._pending.get(key)
    return pending !== undefined && performance.now() < pending.untilMs ? pending.count : listed
  }

  private _sendInBackground (order: ScalingOrder, config: ScalingConfig, token: number): void {
    this._isOrdering = true
    this._send(order, config, token)
      .catch((fault: unknown) => this._logger.error({ service: order.service, reason: String(fault) }, 'scaling_fault'))
      .finally(() => { this._isOrdering = false })
  }

  private async _send (order: ScalingOrder, config: ScalingConfig, token: number): Promise<void> {
    const outcome = await this._client.order(order, this._options.holder, token)
    const nowMs = performance.now()
    const key = toKey(order)
    // An order without a response may have been executed; counting it avoids a second one for the same upstreams.
    if (outcome !== 'unavailable') this._pending.set(key, { count: order.count, untilMs: nowMs + config.bootMs + START_MARGIN_MS })
    this._blockedUntilMs.set(key, nowMs + (outcome === 'accepted' ? config.bootMs + START_MARGIN_MS : RETRY_MS))
    this._logger.info({ service: order.service, failure_domain: order.failureDomain, spot: order.isSpot, count: order.count, token, outcome }, 'upstreams_ordered')
    this._metrics.count('scaling_orders', { service: order.service, outcome })
  }
}

function toKey ({ service, failureDomain, isSpot }: Omit<ScalingOrder, 'count'>): string {
  return `${service} ${failureDomain} ${isSpot ? 'spot' : 'regular'}`
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
