import type { IAdmission } from '../../common/admission/IAdmission.js'
import { admissionId } from '../../common/admission/admissionId.js'
import type { IContractStore } from '../../common/contract/IContractStore.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import type { ILogHub } from '../../common/log/ILogHub.js'
import { logHubId } from '../../common/log/logHubId.js'
import type { StreamName } from '../../common/log/StreamName.js'
import type { IPeerRegistry } from '../../common/peer/IPeerRegistry.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { entrySettingsId } from '../../common/settings/entrySettingsId.js'
import type { IUpstreamTable } from '../../common/upstream/IUpstreamTable.js'
import { upstreamTableId } from '../../common/upstream/upstreamTableId.js'
import type { Readiness } from './Readiness.js'
import { readinessId } from './readinessId.js'

const REPORTED_STREAMS: StreamName[] = ['contracts', 'claims', 'steps', 'leases']

/** Builds the body of `GET /admin/v1/status`: the state of this entry and its view of other entries and upstreams. */
export class StatusReport {
  constructor (
    @entrySettingsId private readonly _settings: EntrySettings,
    @readinessId private readonly _readiness: Readiness,
    @contractStoreId private readonly _contracts: IContractStore,
    @peerRegistryId private readonly _peers: IPeerRegistry,
    @upstreamTableId private readonly _upstreams: IUpstreamTable,
    @logHubId private readonly _hub: ILogHub,
    @admissionId private readonly _admission: IAdmission
  ) {}

  build (): Record<string, unknown> {
    const reason = this._readiness.notReadyReason()
    return {
      entry: this._settings.id,
      failure_domain: this._settings.failureDomain,
      incarnation: this._peers.incarnation,
      ready: reason === undefined,
      ...(reason === undefined ? {} : { obstacle: reason }),
      contracts: this._contracts.all().map(({ organisation, revision }) => ({ organisation, revision })),
      entries: this._peers.all().map(peer => ({ id: peer.id, failure_domain: peer.failureDomain, alive: peer.isAlive, draining: peer.isDraining })),
      upstreams: this._upstreams.all().map(upstream => ({
        id: upstream.id,
        service: upstream.service,
        failure_domain: upstream.failureDomain,
        down: upstream.isDown,
        leaving: upstream.isLeaving,
        outstanding: upstream.outstanding,
        limit: upstream.limit
      })),
      queued: Object.fromEntries(this._settings.services.map(({ name }) => [name, this._admission.queued(name)])),
      streams: Object.fromEntries(REPORTED_STREAMS.map(stream => [stream, this._streamStatus(stream)]))
    }
  }

  private _streamStatus (stream: StreamName): Record<string, unknown> {
    const status = this._hub.status(stream)
    return { next_offset: status.nextOffset, caught_up: status.isCaughtUp, failing: status.isFailing }
  }
}
