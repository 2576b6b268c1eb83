import type { IContractStore } from '../../common/contract/IContractStore.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import type { IContractSync } from '../../common/peer/IContractSync.js'
import { contractSyncId } from '../../common/peer/contractSyncId.js'
import type { IPeerRegistry } from '../../common/peer/IPeerRegistry.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'

/** Decides whether the load balancer should send requests to this entry. */
export class Readiness {
  constructor (
    @contractStoreId private readonly _contracts: IContractStore,
    @contractSyncId private readonly _sync: IContractSync,
    @peerRegistryId private readonly _peers: IPeerRegistry
  ) {}

  /** Reason why the entry is not ready; undefined if it is ready. */
  notReadyReason (): 'draining' | 'no_contract' | 'contracts_not_current' | undefined {
    if (this._peers.isDraining) return 'draining'
    if (this._contracts.all().length === 0) return 'no_contract'
    return this._sync.isCurrent ? undefined : 'contracts_not_current'
  }
}
