import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { ClaimService } from '../claim/ClaimService.js'
import { claimServiceId } from '../claim/claimServiceId.js'
import { ServiceRegistry } from '../kernel/ServiceRegistry.js'
import { LeaseService } from '../lease/LeaseService.js'
import { leaseServiceId } from '../lease/leaseServiceId.js'
import { logClientId } from '../log/logClientId.js'
import { LogHub } from '../log/LogHub.js'
import { logHubId } from '../log/logHubId.js'
import { FakeLog } from '../log/test/FakeLog.js'
import { testServices } from '../log/test/testServices.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import { replicatedContractStoreId } from './replicatedContractStoreId.js'
import { ContractPublisher } from './ContractPublisher.js'
import { contractPublisherId } from './contractPublisherId.js'
import { ContractStore } from './ContractStore.js'
import { contractStoreId } from './contractStoreId.js'
import { ContractSnapshotRenewer } from './ContractSnapshotRenewer.js'
import { contractSnapshotRenewerId } from './contractSnapshotRenewerId.js'

describe('services on the log', () => {
  const registry = new ServiceRegistry()
  after(() => registry.dispose())

  // Guards against a missing or misplaced service identifier in a constructor.
  it('are built by the registry in the order of their dependencies', () => {
    const { settings, logger, metrics } = testServices()
    registry.register(entrySettingsId, settings)
    registry.register(loggerId, logger)
    registry.register(metricsId, metrics)
    registry.register(logClientId, new FakeLog())
    const hub = registry.registerClass(logHubId, LogHub)
    registry.register(replicatedContractStoreId, registry.registerClass(contractStoreId, ContractStore))
    const publisher = registry.registerClass(contractPublisherId, ContractPublisher)
    const claims = registry.registerClass(claimServiceId, ClaimService)
    const leases = registry.registerClass(leaseServiceId, LeaseService) as LeaseService
    const renewer = registry.registerClass(contractSnapshotRenewerId, ContractSnapshotRenewer)
    hub.start()
    leases.start()
    renewer.start()
    for (const service of [hub, publisher, claims, leases, renewer]) {
      expect(Object.entries(service).filter(([, value]) => value === undefined)).toEqual([])
    }
  })
})
