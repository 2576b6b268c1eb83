import { Admission } from '../../common/admission/Admission.js'
import { admissionId } from '../../common/admission/admissionId.js'
import { ClaimService } from '../../common/claim/ClaimService.js'
import { claimServiceId } from '../../common/claim/claimServiceId.js'
import { ContractPublisher } from '../../common/contract/ContractPublisher.js'
import { ContractStore } from '../../common/contract/ContractStore.js'
import { ContractSnapshotRenewer } from '../../common/contract/ContractSnapshotRenewer.js'
import { replicatedContractStoreId } from '../../common/contract/replicatedContractStoreId.js'
import { contractPublisherId } from '../../common/contract/contractPublisherId.js'
import { contractStoreId } from '../../common/contract/contractStoreId.js'
import { diffContracts } from '../../common/contract/diffContracts.js'
import { contractSnapshotRenewerId } from '../../common/contract/contractSnapshotRenewerId.js'
import { SuspectTable } from '../../common/crash/SuspectTable.js'
import { suspectGossipId } from '../../common/crash/suspectGossipId.js'
import { suspectTableId } from '../../common/crash/suspectTableId.js'
import { Forwarder } from '../../common/forward/Forwarder.js'
import { digestId } from '../../common/digest/digestId.js'
import { forwarderId } from '../../common/forward/forwarderId.js'
import { Generator } from '../../common/generation/Generator.js'
import { generatorId } from '../../common/generation/generatorId.js'
import { XxHash } from '../../common/hash/XxHash.js'
import { hashId } from '../../common/hash/hashId.js'
import type { IServiceRegistry } from '../../common/kernel/IServiceRegistry.js'
import { LeaseService } from '../../common/lease/LeaseService.js'
import { leaseServiceId } from '../../common/lease/leaseServiceId.js'
import { LogHub } from '../../common/log/LogHub.js'
import { logClientId } from '../../common/log/logClientId.js'
import { logHubId } from '../../common/log/logHubId.js'
import { peerRegistryId } from '../../common/peer/peerRegistryId.js'
import { TrainerSnapshotRenewer } from '../../common/training/snapshot/TrainerSnapshotRenewer.js'
import { SampleOwnership } from '../../common/training/sample/SampleOwnership.js'
import { SampleScorer } from '../../common/training/sample/SampleScorer.js'
import { StepRunner } from '../../common/training/step/StepRunner.js'
import { StepTable } from '../../common/training/step/StepTable.js'
import { TrainingService } from '../../common/training/TrainingService.js'
import { trainerSnapshotRenewerId } from '../../common/training/snapshot/trainerSnapshotRenewerId.js'
import { sampleOwnershipId } from '../../common/training/sample/sampleOwnershipId.js'
import { sampleScorerId } from '../../common/training/sample/sampleScorerId.js'
import { stepRunnerId } from '../../common/training/step/stepRunnerId.js'
import { stepTableId } from '../../common/training/step/stepTableId.js'
import { trainingServiceId } from '../../common/training/trainingServiceId.js'
import { UpstreamTable } from '../../common/upstream/UpstreamTable.js'
import { upstreamClientId } from '../../common/upstream/client/upstreamClientId.js'
import { upstreamObserverId } from '../../common/upstream/upstreamObserverId.js'
import { upstreamTableId } from '../../common/upstream/upstreamTableId.js'
import { upstreamUsageId } from '../../common/upstream/upstreamUsageId.js'
import { WeightRollout } from '../../common/weights/WeightRollout.js'
import { weightRolloutId } from '../../common/weights/weightRolloutId.js'
import { contractDiffId } from '../http/contractDiffId.js'
import { HttpLogClient } from '../log/HttpLogClient.js'
import { HttpUpstreamClient } from '../upstream/HttpUpstreamClient.js'
import { LoadPoller } from '../upstream/LoadPoller.js'
import { loadPollerId } from '../upstream/loadPollerId.js'
import { MembershipPoller } from '../upstream/MembershipPoller.js'
import { membershipPollerId } from '../upstream/membershipPollerId.js'
import { Sha256Digest } from '../upstream/Sha256Digest.js'
import type { IStartable } from './IStartable.js'
import type { RegisteredServices } from './RegisteredServices.js'
import type { ServiceRegistration } from './ServiceRegistration.js'

/** Loads the WebAssembly hash module and returns a function that registers the services of a production entry. */
export async function createServiceRegistration (): Promise<ServiceRegistration> {
  const hash = await XxHash.create()
  return registry => {
    registry.register(hashId, hash)
    registry.register(digestId, new Sha256Digest())
    const hub = registerLog(registry)
    const contractServices = registerContracts(registry)
    const upstreamServices = registerUpstreams(registry)
    const forwarder = registerWork(registry)
    const training = registerTraining(registry)
    // The log hub starts before the other services here. All folds have been added to it by then, by the constructors and
    // functions above.
    return { startOrder: [hub, ...upstreamServices, ...contractServices, ...training.startOrder], inFlight: () => training.inFlight() + forwarder.atMostOnceCallsInFlight }
  }
}

function registerLog (registry: IServiceRegistry): IStartable {
  registry.registerClass(logClientId, HttpLogClient)
  return registry.registerClass(logHubId, LogHub)
}

function registerContracts (registry: IServiceRegistry): IStartable[] {
  const store = registry.registerClass(contractStoreId, ContractStore) as ContractStore
  registry.register(replicatedContractStoreId, store)
  registry.registerClass(contractPublisherId, ContractPublisher)
  registry.register(contractDiffId, diffContracts)
  const renewer = registry.registerClass(contractSnapshotRenewerId, ContractSnapshotRenewer)
  const leases = registry.registerClass(leaseServiceId, LeaseService) as LeaseService
  registry.registerClass(claimServiceId, ClaimService)
  return [renewer, leases]
}

function registerUpstreams (registry: IServiceRegistry): IStartable[] {
  const table = registry.registerClass(upstreamTableId, UpstreamTable) as UpstreamTable
  registry.register(upstreamUsageId, table)
  registry.register(upstreamObserverId, table)
  registry.registerClass(upstreamClientId, HttpUpstreamClient)
  const members = registry.registerClass(membershipPollerId, MembershipPoller)
  members.onMembers(list => registry.get(peerRegistryId).updateMembers(list))
  return [registry.registerClass(loadPollerId, LoadPoller), members]
}

function registerWork (registry: IServiceRegistry): Forwarder {
  const suspects = registry.registerClass(suspectTableId, SuspectTable) as SuspectTable
  registry.register(suspectGossipId, suspects)
  registry.get(logHubId).addFold('claims', suspects)
  registry.registerClass(admissionId, Admission, Math.random)
  registry.registerClass(generatorId, Generator)
  return registry.registerClass(forwarderId, Forwarder) as Forwarder
}

function registerTraining (registry: IServiceRegistry): RegisteredServices {
  registry.registerClass(stepTableId, StepTable)
  registry.registerClass(sampleScorerId, SampleScorer)
  registry.registerClass(sampleOwnershipId, SampleOwnership)
  registry.registerClass(trainingServiceId, TrainingService)
  const trainerSnapshotRenewer = registry.registerClass(trainerSnapshotRenewerId, TrainerSnapshotRenewer) as TrainerSnapshotRenewer
  const runner = registry.registerClass(stepRunnerId, StepRunner) as StepRunner
  const rollout = registry.registerClass(weightRolloutId, WeightRollout) as WeightRollout
  return { startOrder: [trainerSnapshotRenewer, runner, rollout], inFlight: () => runner.inProgressCount }
}
