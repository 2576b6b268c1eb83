import { Emitter } from '../../kernel/Emitter.js'
import type { IHash } from '../../hash/IHash.js'
import type { ILogger } from '../../metrics/ILogger.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import type { IPeerTable } from '../../peer/IPeerTable.js'
import type { IContractStore } from '../../contract/IContractStore.js'
import type { ContractRevision } from '../../contract/ContractRevision.js'
import { contractSchema } from '../../schema/contractSchema.js'
import type { GroupSpec } from '../../schema/GroupSpec.js'
import type { EntrySettings } from '../../settings/EntrySettings.js'

/** Fakes of the services that the training classes depend on. */
export const fakes = {
  logger: { info () {}, warn () {}, error () {}, debug () {} } satisfies ILogger,
  metrics: { count () {}, gauge () {}, duration () {} } satisfies IMetrics,
  // 64-bit FNV-1a.
  hash: { hash64: (text) => [...text].reduce((sum, char) => BigInt.asUintN(64, (sum ^ BigInt(char.charCodeAt(0))) * 1099511628211n), 14695981039346656037n) } satisfies IHash,
  settings: {
    id: 'entry-a',
    retentionMs: 300_000,
    services: [{
      name: 'llm',
      kind: 'engine',
      checksFence: true,
      orderAddresses: [],
      swapParallel: 1,
      balancer: 'random',
      admission: 'bounded',
      hedging: true,
      swapOrder: 'planned'
    }]
  } as unknown as EntrySettings,
  peers (selfId: string, live: string[]): IPeerTable & { live: string[], change: Emitter<void> } {
    const change = new Emitter<void>()
    return { selfId, live, change, onChange: change.event, liveIds () { return this.live }, all: () => [] }
  },
  contracts (terms: Record<string, unknown> = {}): IContractStore {
    const contract = contractSchema.parse({
      contract: { organisation: 'felt', operator: 'lin' },
      access: { token_sha256: ['0'.repeat(64)] },
      limits: {},
      trainer: { brim: { service: 'llm', staleness_versions: 1, step_deadline_s: 60, weights_every_s: 60, ...terms } }
    })
    const revision: ContractRevision = { organisation: 'felt', revision: 1, operator: 'lin', atMs: 0, text: '', contract }
    const store: Partial<IContractStore> = {
      onChange: new Emitter<ContractRevision>().event,
      current: (organisation) => organisation === 'felt' ? revision : undefined,
      all: () => [revision]
    }
    return store as IContractStore
  },
  group (group: string, samples = 1): GroupSpec {
    return { group, prompt: `prompt ${group}`, samples, max_tokens: 8 }
  }
}
