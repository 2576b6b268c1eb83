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
import type { IContractLedger } from './IContractLedger.js'
import { mergeRevisions } from './mergeRevisions.js'
import { parseContract } from './parseContract.js'

/** Contracts in force: the higher revision of the fold and of what peers have offered. */
export class ContractStore extends Disposable implements IContractLedger {
  private readonly _onChange = this._register(new Emitter<ContractRevision>())
  readonly onChange = this._onChange.event
  private readonly _onGap = this._register(new Emitter<number>())
  readonly onGap = this._onGap.event
  gapCount = 0
  private readonly _fold: ContractFold
  private readonly _offers = new Map<string, ContractRevision>()
  private readonly _inForce = new Map<string, ContractRevision>()
  private _customersByDigest = new Map<string, string>()
  private _areAllPeersAsked = false

  constructor (
    @logHubId private readonly _hub: ILogHub,
    @entrySettingsId settings: EntrySettings,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics
  ) {
    super()
    this._fold = this._register(new ContractFold(settings.retentionMs, _logger))
    this._register(this._fold.onChange(customer => this._update(customer)))
    this._hub.addFold('contracts', {
      apply: entry => this._fold.apply(entry),
      onGap: earliestOffset => this._onFoldGap(earliestOffset)
    })
  }

  current (customer: string): ContractRevision | undefined {
    return this._inForce.get(customer)
  }

  findByTokenDigest (digest: string): ContractRevision | undefined {
    const customer = this._customersByDigest.get(digest)
    return customer === undefined ? undefined : this._inForce.get(customer)
  }

  all (): ContractRevision[] {
    return [...this._inForce.values()]
  }

  history (customer: string): ContractRevision[] {
    const current = this._inForce.get(customer)
    if (current === undefined) return []
    return mergeRevisions([current], this._fold.state(customer)?.revisions ?? [])
  }

  offer (revision: Omit<ContractRevision, 'contract'>): void {
    const { customer } = revision
    if (revision.revision <= (this._inForce.get(customer)?.revision ?? 0)) return
    const contract = parseContract(customer, revision.text)
    if (contract.isErr()) {
      this._logger.warn({ customer, revision: revision.revision }, 'peer_contract_invalid')
      return
    }
    this._offers.set(customer, { ...revision, contract: contract.value })
    this._update(customer)
  }

  markPeersAsked (gapCount: number): void {
    if (gapCount === this.gapCount) this._areAllPeersAsked = true
  }

  isVerified (): boolean {
    return this._areAllPeersAsked && (this.gapCount === 0 || this._hub.status('contracts').isCaughtUp)
  }

  isExact (customer: string): boolean {
    const state = this._fold.state(customer)
    return state?.revisions.at(-1) === this._inForce.get(customer) && state?.isExact !== false
  }

  decision (recordId: string): ContractDecision | undefined {
    return this._fold.decision(recordId)
  }

  renewal (customer: string): ContractRenewal | undefined {
    const current = this._inForce.get(customer)
    if (current === undefined) return undefined
    const state = this._fold.state(customer)
    const isFromLog = state?.revisions.at(-1) === current
    return {
      keptAtMs: isFromLog ? state?.keptAtMs : undefined,
      isExact: isFromLog && state?.isExact === true,
      revisions: this.history(customer)
    }
  }

  private _onFoldGap (earliestOffset: number): void {
    this._fold.onGap(earliestOffset)
    this.gapCount++
    this._areAllPeersAsked = false
    this._logger.warn({ stream: 'contracts', offset: earliestOffset }, 'contracts_unverified')
    this._onGap.fire(this.gapCount)
  }

  private _update (customer: string): void {
    const folded = this._fold.state(customer)?.revisions.at(-1)
    const offered = this._offers.get(customer)
    const isOfferHigher = offered !== undefined && offered.revision > (folded?.revision ?? 0)
    if (!isOfferHigher) this._offers.delete(customer)
    const next = isOfferHigher ? offered : folded
    const before = this._inForce.get(customer)
    // The fold wins over an offer of the same revision, because it is what all entries agree on.
    if (next === undefined || next === before) return
    this._inForce.set(customer, next)
    if (next.revision === before?.revision && next.text === before.text) return
    this._indexTokens()
    this._metrics.gauge('contract_revision', next.revision, { customer })
    this._logger.info({ customer, revision: next.revision, operator: next.operator }, 'contract_in_force')
    this._onChange.fire(next)
  }

  /** The earlier contract keeps a token that two contracts list, as in the fold. */
  private _indexTokens (): void {
    const oldestFirst = this.all().sort((a, b) => a.atMs - b.atMs || a.customer.localeCompare(b.customer))
    this._customersByDigest = new Map()
    for (const { customer, contract } of oldestFirst) {
      for (const digest of contract.access.token_sha256) {
        if (!this._customersByDigest.has(digest)) this._customersByDigest.set(digest, customer)
      }
    }
  }
}
