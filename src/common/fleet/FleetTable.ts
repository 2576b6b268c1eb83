import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { FleetMember } from './FleetMember.js'
import { FleetUpstream } from './FleetUpstream.js'
import type { IFleet } from './IFleet.js'

/** The list of upstreams as the store tells it, one record per life. */
export class FleetTable extends Disposable implements IFleet {
  private readonly _onChanged = this._register(new Emitter<void>())
  readonly onChanged = this._onChanged.event
  private readonly _onGone = this._register(new Emitter<FleetUpstream>())
  readonly onRemoved = this._onGone.event
  private readonly _upstreams = new Map<string, FleetUpstream>()
  private readonly _lapsed = new Map<string, NodeJS.Timeout>()

  constructor (private readonly _logger: ILogger) {
    super()
  }

  apply (member: FleetMember): void {
    this._keep(member.id)
    const known = this._upstreams.get(member.id)
    if (known !== undefined && known.member.startedAtMs === member.startedAtMs && known.member.address === member.address) {
      if (known.member.isDraining !== member.isDraining) this._log(member, 'upstream_state_changed')
      known.update(member)
    } else if (known !== undefined && member.startedAtMs < known.member.startedAtMs) {
      this._log(member, 'upstream_entry_ignored_as_older')
      return
    } else {
      if (known !== undefined) this._drop(known, 'restarted')
      this._upstreams.set(member.id, new FleetUpstream(member))
      this._log(member, 'upstream_added')
    }
    this._onChanged.fire()
  }

  /** An entry that may have lapsed in an outage of the store stays in use for `keepMs`, in which it may come back. */
  remove (id: string, keepMs: number): void {
    const known = this._upstreams.get(id)
    if (known === undefined || this._lapsed.has(id)) return
    if (keepMs <= 0) {
      this._drop(known, 'entry removed')
      this._onChanged.fire()
      return
    }
    this._log(known.member, 'upstream_entry_lapsed')
    const timer = setTimeout(() => {
      this._lapsed.delete(id)
      this._drop(known, 'entry lapsed')
      this._onChanged.fire()
    }, keepMs)
    this._lapsed.set(id, timer)
  }

  listAvailable (service: string): FleetUpstream[] {
    return this.all().filter(upstream => upstream.member.service === service && !upstream.member.isDraining)
  }

  all (): FleetUpstream[] {
    return [...this._upstreams.values()]
  }

  find (id: string): FleetUpstream | undefined {
    return this._upstreams.get(id)
  }

  override dispose (): void {
    for (const timer of this._lapsed.values()) clearTimeout(timer)
    super.dispose()
  }

  private _keep (id: string): void {
    clearTimeout(this._lapsed.get(id))
    this._lapsed.delete(id)
  }

  private _drop (upstream: FleetUpstream, reason: string): void {
    if (this._upstreams.get(upstream.member.id) === upstream) this._upstreams.delete(upstream.member.id)
    this._logger.info({ upstream: upstream.member.id, address: upstream.member.address, reason }, 'upstream_gone')
    this._onGone.fire(upstream)
  }

  private _log (member: FleetMember, event: string): void {
    const { id, service, address, startedAtMs: bornAtMs, isDraining } = member
    this._logger.info({ upstream: id, service, address, born_at_ms: bornAtMs, draining: isDraining }, event)
  }
}
