import { createHash } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { okAsync } from 'neverthrow'
import { admissionId } from '../../../common/admission/admissionId.js'
import { contractPublisherId } from '../../../common/contract/contractPublisherId.js'
import { replicatedContractStoreId } from '../../../common/contract/replicatedContractStoreId.js'
import { contractStoreId } from '../../../common/contract/contractStoreId.js'
import { suspectGossipId } from '../../../common/crash/suspectGossipId.js'
import { suspectTableId } from '../../../common/crash/suspectTableId.js'
import { forwarderId } from '../../../common/forward/forwarderId.js'
import { generatorId } from '../../../common/generation/generatorId.js'
import { Emitter } from '../../../common/kernel/Emitter.js'
import type { IServiceRegistry } from '../../../common/kernel/IServiceRegistry.js'
import { logHubId } from '../../../common/log/logHubId.js'
import { trainingServiceId } from '../../../common/training/trainingServiceId.js'
import { upstreamTableId } from '../../../common/upstream/upstreamTableId.js'
import { contractDiffId } from '../../http/contractDiffId.js'
import type { RegisteredServices } from '../RegisteredServices.js'

interface FakeOptions { callDurationMs: () => number, deadlineMs: number, otherInFlight: () => number, onFlush: () => void }

const TOKEN_DIGEST = createHash('sha256').update('token').digest('hex')

/** Registers fakes of the services that Entry does not create: one contract with the token `token`, and calls of a given duration. */
export function registerFakes (registry: IServiceRegistry, options: FakeOptions): RegisteredServices {
  const work = { lookup: { service: 'order-app', kind: 'call', methods: [], path: '/', deadline_ms: options.deadlineMs, repeat: 'allowed' } }
  const revision: any = { organisation: 'lin-shun', revision: 1, contract: { access: { token_sha256: [TOKEN_DIGEST] }, work, trainer: {} } }
  const register = (id: any, fake: object): unknown => registry.register(id, fake)
  const contracts = { all: () => [revision], current: () => revision, findByTokenDigest: () => revision, offer () {} }
  register(contractStoreId, contracts)
  register(replicatedContractStoreId, { ...contracts, gapCount: 0, onGap: () => ({ dispose () {} }), markPeersQueried () {} })
  register(logHubId, { addFold () {}, status: () => ({ isCaughtUp: true }), flush: async () => options.onFlush() })
  register(upstreamTableId, { all: () => [], updatePeerOutstanding () {} })
  register(forwarderId, {
    forward: () => okAsync(1).map(async () => {
      await sleep(options.callDurationMs())
      return { status: 200, headers: {}, body: Buffer.from('done') }
    })
  })
  register(suspectGossipId, { suspects: () => [], addPeerSuspects () {}, runningSuspects: () => [], setPeerRuns () {}, onRunsChanged: new Emitter<void>().event })
  for (const id of [suspectTableId, admissionId, generatorId, trainingServiceId, contractPublisherId, contractDiffId]) register(id, {})
  return { startOrder: [], inFlight: options.otherInFlight }
}
