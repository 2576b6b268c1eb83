import type { IContractStore } from '../contract/IContractStore.js'
import { contractStoreId } from '../contract/contractStoreId.js'
import { Disposable } from '../kernel/Disposable.js'
import { toDisposable } from '../kernel/toDisposable.js'
import type { ILeaseService } from '../lease/ILeaseService.js'
import type { Lease } from '../lease/Lease.js'
import { leaseServiceId } from '../lease/leaseServiceId.js'
import type { ILogger } from '../metrics/ILogger.js'
import { loggerId } from '../metrics/loggerId.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { IStepTable } from '../training/step/IStepTable.js'
import { stepTableId } from '../training/step/stepTableId.js'
import type { IUpstreamClient } from '../upstream/client/IUpstreamClient.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import { upstreamClientId } from '../upstream/client/upstreamClientId.js'
import { upstreamTableId } from '../upstream/upstreamTableId.js'
import { EngineOrderClient } from './EngineOrderClient.js'
import type { IWeightRollout } from './IWeightRollout.js'
import { ServiceRollout } from './ServiceRollout.js'
import type { WeightTarget } from './WeightTarget.js'

const LEASE_PREFIX = 'weights/'

/** Competes for the lease of each engine service that has trainers, and runs the service's rollout while holding it. */
export class WeightRollout extends Disposable implements IWeightRollout {
  private readonly _orderClient: EngineOrderClient
  /** Names of the leases that this entry competes for. */
  private readonly _leaseNames = new Set<string>()
  /** Last known version by organisation and trainer. */
  private readonly _versions = new Map<string, number>()
  /** Running rollouts by lease name. */
  private readonly _rollouts = new Map<string, ServiceRollout>()

  constructor (
    @leaseServiceId private readonly _leases: ILeaseService,
    @stepTableId private readonly _stepTable: IStepTable,
    @contractStoreId private readonly _contracts: IContractStore,
    @upstreamTableId private readonly _upstreams: IUpstreamTable,
    @upstreamClientId client: IUpstreamClient,
    @entrySettingsId private readonly _settings: EntrySettings,
    @loggerId private readonly _logger: ILogger
  ) {
    super()
    this._orderClient = new EngineOrderClient(client)
  }

  start (): void {
    this._register(this._leases.onGained((lease) => this._startRollout(lease)))
    this._register(this._leases.onLost((lease) => this._stopRollout(lease.name)))
    this._register(this._contracts.onChange(() => this._acquireLeases()))
    this._register(this._stepTable.onChange(({ organisation, trainer }) => {
      const key = `${organisation}/${trainer}`
      const version = this._stepTable.get(organisation, trainer)?.version ?? 0
      // Most changes are sample records, which do not affect the engines.
      if (this._versions.get(key) === version) return
      this._versions.set(key, version)
      this._wakeAll()
    }))
    this._register(this._upstreams.onChange(() => this._wakeAll()))
    this._register(toDisposable(() => {
      for (const name of this._leaseNames) {
        this._stopRollout(name)
        this._leases.release(name)
      }
    }))
    this._acquireLeases()
  }

  private _acquireLeases (): void {
    const services = new Set(this._contracts.all().flatMap(({ contract }) => Object.values(contract.trainer).map(({ service }) => service)))
    for (const { name, kind } of this._settings.services) {
      const leaseName = LEASE_PREFIX + name
      if (kind !== 'engine' || !services.has(name) || this._leaseNames.has(leaseName)) continue
      this._leaseNames.add(leaseName)
      this._leases.acquire(leaseName)
    }
  }

  private _startRollout (lease: Lease): void {
    const service = this._settings.services.find(({ name }) => LEASE_PREFIX + name === lease.name)
    if (service === undefined || !this._leaseNames.has(lease.name)) return
    this._stopRollout(lease.name)
    const engines = () => this._upstreams.all(service.name).filter(({ isDown, isLeaving }) => !isDown && !isLeaving)
    const targets = () => this._targets(service.name)
    const rollout = new ServiceRollout(lease, service, this._leases, this._orderClient, engines, targets, this._logger)
    this._rollouts.set(lease.name, rollout)
    this._logger.info({ lease: lease.name, fence: lease.fence }, 'weight_rollout_started')
    rollout.run().catch((fault: unknown) => {
      this._logger.error({ lease: lease.name, fault: String(fault) }, 'weight_rollout_failed')
    }).then(() => this._reacquireLease(lease.name, rollout))
  }

  private _stopRollout (leaseName: string): void {
    const rollout = this._rollouts.get(leaseName)
    this._rollouts.delete(leaseName)
    rollout?.stop()
  }

  /** Called after a rollout has ended by itself: its lease is outdated and is released before it is acquired again. */
  private _reacquireLease (leaseName: string, rollout: ServiceRollout): void {
    if (this._rollouts.get(leaseName) !== rollout) return
    this._rollouts.delete(leaseName)
    this._leases.release(leaseName)
    this._leases.acquire(leaseName)
  }

  private _wakeAll (): void {
    for (const rollout of this._rollouts.values()) rollout.wake()
  }

  /** The newest weights of each trainer of a service. */
  private _targets (service: string): WeightTarget[] {
    return this._contracts.all().flatMap(({ contract }) => {
      const { organisation } = contract.contract
      return Object.entries(contract.trainer)
        .filter(([, terms]) => terms.service === service)
        .map(([trainer, terms]) => ({
          model: `${organisation}/${trainer}`,
          version: this._stepTable.get(organisation, trainer)?.version ?? 0,
          stalenessBound: terms.staleness_versions
        }))
    })
  }
}
