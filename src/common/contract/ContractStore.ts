import { Disposable } from '../kernel/Disposable.js'
import { Emitter } from '../kernel/Emitter.js'
import type { ILogHub } from '../log/ILogHub.js'
import { logHubId } from '../log/logHubId.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { ContractDecision } from './ContractDecision.js'
import { ContractFold } from './ContractFold.js'
import type { ContractRenewal } from './ContractRenewal.js'
import type { ContractRevision } from './ContractRevision.js'
import type { IReplicatedContractStore } from './IReplicatedContractStore.js'
import { mergeRevisions } from './mergeRevisions.js'
import { parseContract } from './parseContract.js'

/** Contracts in force: for each organisation the higher revision of the fold and of the peers. */
export class ContractStore extends Disposable implements IReplicatedContractStore {
  private readonly _onChange = this._register(new Emitter<ContractRevision>())
  readonly onChange = this._onChange.event
  private readonly _onGap = this._register(new Emitter<number>())
  readonly onGap = this._onGap.event
  gapCount = 0
  private readonly _fold: ContractFold
  private readonly _peerRevisions = new Map<string, ContractRevision>()
  private readonly _inForce = new Map<string, ContractRevision>()
  private _organisationsByDigest = new Map<string, string>()
  private _areAllPeersQueried = false

  constructor (
    @logHubId private readonly _hub: ILogHub,
    @entrySettingsId settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._fold = this._register(new ContractFold(settings.retentionMs, _logger))
    this._register(this._fold.onChange(organisation => this._update(organisation)))
    this._hub.addFold('contracts', {
      apply: entry => this._fold.apply(entry),
      onGap: earliestOffset => this._onFoldGap(earliestOffset)
    })
  }

  current (organisation: string): ContractRevision | undefined {
    return this._inForce.get(organisation)
  }

  findByTokenDigest (digest: string): ContractRevision | undefined {
    const organisation = this._organisationsByDigest.get(digest)
    return organisation === undefined ? undefined : this._inForce.get(organisation)
  }

  all (): ContractRevision[] {
    return [...this._inForce.values()]
  }

  history (organisation: string): ContractRevision[] {
    const current = this._inForce.get(organisation)
    if (current === undefined) return []
    return mergeRevisions([current], this._fold.state(organisation)?.revisions ?? [])
  }

  offer (revision: Omit<ContractRevision, 'contract'>): void {
    const { organisation } = revision
    if (revision.revision <= (this._inForce.get(organisation)?.revision ?? 0)) return
    const contract = parseContract(organisation, revision.text)
    if (contract.isErr()) {
      this._logger.warn({ organisation, revision: revision.revision }, 'peer_contract_invalid')
      return
    }
    this._peerRevisions.set(organisation, { ...revision, contract: contract.value })
    this._update(organisation)
  }

  markPeersQueried (gapCount: number): void {
    if (gapCount === this.gapCount) this._areAllPeersQueried = true
  }

  isVerified (): boolean {
    return this._areAllPeersQueried && (this.gapCount === 0 || this._hub.status('contracts').isCaughtUp)
  }

  isExact (organisation: string): boolean {
    const state = this._fold.state(organisation)
    return state?.revisions.at(-1) === this._inForce.get(organisation) && state?.isExact !== false
  }

  decision (recordId: string): ContractDecision | undefined {
    return this._fold.decision(recordId)
  }

  renewal (organisation: string): ContractRenewal | undefined {
    const current = this._inForce.get(organisation)
    if (current === undefined) return undefined
    const state = this._fold.state(organisation)
    const isFromLog = state?.revisions.at(-1) === current
    return {
      lastRecordAtMs: isFromLog ? state?.lastRecordAtMs : undefined,
      isExact: isFromLog && state?.isExact === true,
      revisions: this.history(organisation)
    }
  }

  private _onFoldGap (earliestOffset: number): void {
    this._fold.onGap(earliestOffset)
    this.gapCount++
    this._areAllPeersQueried = false
    this._logger.warn({ stream: 'contracts', offset: earliestOffset }, 'contracts_unverified')
    this._onGap.fire(this.gapCount)
  }

  private _update (organisation: string): void {
    const fromLog = this._fold.state(organisation)?.revisions.at(-1)
    const fromPeer = this._peerRevisions.get(organisation)
    const isPeerRevisionHigher = fromPeer !== undefined && fromPeer.revision > (fromLog?.revision ?? 0)
    if (!isPeerRevisionHigher) this._peerRevisions.delete(organisation)
    const next = isPeerRevisionHigher ? fromPeer : fromLog
    const before = this._inForce.get(organisation)
    // For equal revisions the fold wins over the peers, because all entries agree on the fold.
    if (next === undefined || next === before) return
    this._inForce.set(organisation, next)
    if (next.revision === before?.revision && next.text === before.text) return
    this._indexTokens()
    this._metrics.gauge('contract_revision', next.revision, { organisation })
    this._logger.info({ organisation, revision: next.revision, operator: next.operator }, 'contract_in_force')
    this._onChange.fire(next)
  }

  /** Indexes contracts by token digest. A token that two contracts list belongs to the earlier one, as in the fold. */
  private _indexTokens (): void {
    const oldestFirst = this.all().sort((a, b) => a.atMs - b.atMs || a.organisation.localeCompare(b.organisation))
    this._organisationsByDigest = new Map()
    for (const { organisation, contract } of oldestFirst) {
      for (const digest of contract.access.token_sha256) {
        if (!this._organisationsByDigest.has(digest)) this._organisationsByDigest.set(digest, organisation)
      }
    }
  }
}
