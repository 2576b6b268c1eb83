import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { FleetMember } from './FleetMember.js'
import { FleetUpstream } from './FleetUpstream.js'
import type { IFleet } from './IFleet.js'
import { RecordOrder } from './RecordOrder.js'

/** Incarnations remembered as leaving after their records have been removed; a record may return. */
const MAX_LEAVING = 1024

/** The upstreams in the upstream list of the store, one object per incarnation. */
export class FleetTable extends Disposable implements IFleet {
  private readonly _onChanged = this._register(new Emitter<void>())
  readonly onChanged = this._onChanged.event
  private readonly _onRemoved = this._register(new Emitter<FleetUpstream>())
  readonly onRemoved = this._onRemoved.event
  private readonly _upstreams = new Map<string, FleetUpstream>()
  /** Incarnations that said in a response that they leave, the latest last. */
  private readonly _leaving = new Set<string>()
  private readonly _pendingRemovals = new Map<string, NodeJS.Timeout>()
  private readonly _recordOrder = new RecordOrder()

  constructor (private readonly _logger: ILogger) {
    super()
  }

  /** Adds or updates an upstream, and cancels its pending removal. A record that the store executed late has no effect. */
  apply (member: FleetMember): void {
    if (!this._recordOrder.accept(member)) {
      this._log(member, 'upstream_entry_ignored_as_older')
      return
    }
    const known = this._upstreams.get(member.id)
    this._cancelRemoval(member.id)
    if (known !== undefined && known.member.startedAtMs === member.startedAtMs && known.member.address === member.address) {
      if (known.member.isDraining !== member.isDraining) this._log(member, 'upstream_state_changed')
      known.update(member)
    } else {
      if (known !== undefined) this._removeNow(known, 'restarted')
      this._upstreams.set(member.id, this._create(member))
      this._log(member, 'upstream_added')
    }
    this._onChanged.fire()
  }

  /**
   * Removes an upstream after `graceMs`. Its record may have expired only because of a store outage; the upstream
   * stays in use until then, and is kept if its record returns.
   */
  remove (id: string, graceMs: number): void {
    const known = this._upstreams.get(id)
    if (known === undefined || this._pendingRemovals.has(id)) return
    if (graceMs <= 0) {
      this._removeNow(known, 'record removed')
      this._onChanged.fire()
      return
    }
    this._log(known.member, 'upstream_entry_lapsed')
    const timer = setTimeout(() => {
      this._pendingRemovals.delete(id)
      this._removeNow(known, 'record expired and did not return')
      this._onChanged.fire()
    }, graceMs)
    this._pendingRemovals.set(id, timer)
  }

  listAvailable (service: string): FleetUpstream[] {
    return this.all().filter(upstream => upstream.member.service === service && !upstream.isLeaving)
  }

  all (): FleetUpstream[] {
    return [...this._upstreams.values()]
  }

  find (id: string): FleetUpstream | undefined {
    return this._upstreams.get(id)
  }

  override dispose (): void {
    for (const timer of this._pendingRemovals.values()) clearTimeout(timer)
    super.dispose()
  }

  private _create (member: FleetMember): FleetUpstream {
    const upstream = new FleetUpstream(member)
    if (this._leaving.has(toIncarnationKey(member))) upstream.recordLeaving()
    upstream.onLeaving(() => this._onLeaving(member))
    return upstream
  }

  private _onLeaving (member: FleetMember): void {
    this._leaving.add(toIncarnationKey(member))
    const [oldest] = this._leaving
    if (this._leaving.size > MAX_LEAVING && oldest !== undefined) this._leaving.delete(oldest)
    this._log(member, 'upstream_leaving')
    this._onChanged.fire()
  }

  private _cancelRemoval (id: string): void {
    clearTimeout(this._pendingRemovals.get(id))
    this._pendingRemovals.delete(id)
  }

  private _removeNow (upstream: FleetUpstream, reason: string): void {
    if (this._upstreams.get(upstream.member.id) === upstream) this._upstreams.delete(upstream.member.id)
    this._logger.info({ upstream: upstream.member.id, address: upstream.member.address, reason }, 'upstream_gone')
    this._onRemoved.fire(upstream)
  }

  private _log (member: FleetMember, event: string): void {
    const { id, service, address, startedAtMs, sequence, isDraining } = member
    this._logger.info({ upstream: id, service, address, born_at_ms: startedAtMs, sequence, draining: isDraining }, event)
  }
}

function toIncarnationKey ({ id, startedAtMs }: FleetMember): string {
  return `${startedAtMs}.${id}`
}
