import { describe, it } from 'node:test'
import { expect } from 'earl'
import { admissionId } from '../admission/admissionId.js'
import { contractStoreId } from '../contract/contractStoreId.js'
import { Generator } from '../generation/Generator.js'
import { XxHash } from '../hash/XxHash.js'
import { generatorId } from '../generation/generatorId.js'
import { hashId } from '../hash/hashId.js'
import { ServiceRegistry } from '../kernel/ServiceRegistry.js'
import { leaseServiceId } from '../lease/leaseServiceId.js'
import type { ILeaseService } from '../lease/ILeaseService.js'
import { logHubId } from '../log/logHubId.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import { peerTableId } from '../peer/peerTableId.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import { upstreamClientId } from '../upstream/client/upstreamClientId.js'
import { upstreamTableId } from '../upstream/upstreamTableId.js'
import { WeightRollout } from '../weights/WeightRollout.js'
import { weightRolloutId } from '../weights/weightRolloutId.js'
import { TrainerSnapshotRenewer } from './snapshot/TrainerSnapshotRenewer.js'
import { SampleOwnership } from './sample/SampleOwnership.js'
import { SampleScorer } from './sample/SampleScorer.js'
import { StepRunner } from './step/StepRunner.js'
import { StepTable } from './step/StepTable.js'
import { TrainingService } from './TrainingService.js'
import { trainerSnapshotRenewerId } from './snapshot/trainerSnapshotRenewerId.js'
import { sampleOwnershipId } from './sample/sampleOwnershipId.js'
import { sampleScorerId } from './sample/sampleScorerId.js'
import { stepRunnerId } from './step/stepRunnerId.js'
import { stepTableId } from './step/stepTableId.js'
import { trainingServiceId } from './trainingServiceId.js'
import { FakeEngines } from './test/FakeEngines.js'
import { MemoryLog } from './test/MemoryLog.js'
import { fakes } from './test/fakes.js'

describe('services of generation, training and weights', () => {
  it('are built by the registry with real hashes and run a step from submission to delivery', async () => {
    const registry = new ServiceRegistry()
    const engines = new FakeEngines({ a: [[{ token: 1, version: 0 }, { token: 2, version: 0, last: true }, 'done']] })
    registry.register(hashId, await XxHash.create())
    registry.register(logHubId, new MemoryLog().hub())
    registry.register(admissionId, engines.admission)
    registry.register(upstreamClientId, engines.client)
    registry.register(upstreamTableId, engines.table)
    registry.register(contractStoreId, fakes.contracts())
    registry.register(peerTableId, fakes.peers('a', ['a']))
    registry.register(entrySettingsId, fakes.settings)
    registry.register(loggerId, fakes.logger)
    registry.register(metricsId, fakes.metrics)
    const event = () => ({ dispose () {} })
    const leases: ILeaseService = { onGained: event, onLost: event, acquire () {}, release () {}, held: () => undefined, dispose () {} }
    registry.register(leaseServiceId, leases)
    registry.registerClass(generatorId, Generator)
    registry.registerClass(stepTableId, StepTable)
    registry.registerClass(sampleScorerId, SampleScorer)
    registry.registerClass(sampleOwnershipId, SampleOwnership)
    const service = registry.registerClass(trainingServiceId, TrainingService)
    registry.registerClass(trainerSnapshotRenewerId, TrainerSnapshotRenewer).start()
    registry.registerClass(stepRunnerId, StepRunner).start()
    registry.registerClass(weightRolloutId, WeightRollout).start()
    await service.submit('felt', 'brim', 1, [fakes.group('g')])
    const signal = new AbortController().signal
    const read = await service.read({ organisation: 'felt', trainer: 'brim', cursor: 0, version: 0, max: 1, waitMs: 5000, signal })
    expect(read._unsafeUnwrap().groups[0]?.samples[0]?.token_ids).toEqual([1, 2])
    registry.dispose()
  })
})
