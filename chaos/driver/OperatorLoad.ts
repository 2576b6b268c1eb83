import { setTimeout as sleep } from 'node:timers/promises'
import { readExampleContract } from '../../tools/harness/readExampleContract.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { fetchJson } from '../../tools/harness/fetchJson.js'
import { bearerTokens } from '../../tools/harness/bearerTokens.js'
import type { ContractView } from '../checker/ContractView.js'
import type { Publication } from '../checker/Publication.js'
import type { EntryPool } from './EntryPool.js'
import type { ChaosEnvironment } from './ChaosEnvironment.js'

const ORGANISATIONS = ['lin-shun', 'almaskert'] as const
const PUBLISH_INTERVAL_MS = 1000
const VIEW_INTERVAL_MS = 400

/** Lets two operators publish conflicting contracts concurrently, and records the contracts that entries report as in force. */
export class OperatorLoad {
  readonly publications: Publication[] = []
  readonly views: ContractView[] = []
  private _isRunning = true
  private _publicationRounds = 0

  constructor (private readonly _environment: ChaosEnvironment, private readonly _pool: EntryPool) {}

  /** Publishes contracts and reads views until `stop` is called. */
  async run (): Promise<void> {
    await Promise.all([this._publishUntilStopped(), ...this._environment.cluster.entries.map(async entry => await this._pollViews(entry))])
  }

  /** Stops the loops after the publications in progress. */
  stop (): void {
    this._isRunning = false
  }

  /** Records the views of every entry. Returns true if all entries report the highest accepted revision or a later one. */
  async recordFinalViews (): Promise<boolean> {
    const views = (await Promise.all(this._environment.cluster.entries.map(async entry => await this._readViews(entry)))).flat()
    const hasConverged = ORGANISATIONS.every(organisation => {
      const accepted = this.publications.filter(publication => publication.organisation === organisation).map(publication => publication.revision ?? 0)
      const revisions = views.filter(view => view.organisation === organisation).map(view => view.revision)
      return revisions.length === this._environment.cluster.entries.length && Math.min(...revisions) >= Math.max(1, ...accepted)
    })
    this.views.push(...views.map(view => ({ ...view, isFinal: hasConverged })))
    return hasConverged
  }

  private async _publishUntilStopped (): Promise<void> {
    while (this._isRunning) {
      await Promise.all(ORGANISATIONS.map(async organisation => await this._publishConcurrently(organisation).catch(() => {})))
      await sleep(PUBLISH_INTERVAL_MS)
    }
  }

  private async _publishConcurrently (organisation: typeof ORGANISATIONS[number]): Promise<void> {
    const { available } = this._pool
    const round = this._publicationRounds++
    const entries = [available[round % available.length]!, available[(round + 1) % available.length]!]
    const { revision: base } = await fetchJson('GET', entries[0]!.listen, `/admin/v1/contracts/${organisation}`, undefined, bearerTokens.operators.mei)
    const example = await readExampleContract(organisation)
    await Promise.all((['mei', 'ilona'] as const).map(async (operator, index) => {
      const text = `${example}\n; publication ${round} by ${operator}\n`
      const startedAtMs = Date.now()
      const entry = entries[index]!
      const response = await fetchJson('POST', entry.listen, `/admin/v1/contracts/${organisation}`, { base_revision: base, text }, bearerTokens.operators[operator]).catch(() => undefined)
      this.publications.push({ organisation, operator, entry: entry.name, base, text, startedAtMs, endedAtMs: Date.now(), revision: response?.revision })
    }))
  }

  private async _pollViews (entry: EntryProcess): Promise<void> {
    while (this._isRunning) {
      this.views.push(...await this._readViews(entry))
      await sleep(VIEW_INTERVAL_MS)
    }
  }

  /** Reads the contracts that an entry reports as in force. Returns none if the entry was not ready before the read. */
  private async _readViews (entry: EntryProcess): Promise<ContractView[]> {
    const atMs = Date.now()
    if (await entry.fetchReadinessStatus() !== 200) return []
    const contracts = await Promise.all(ORGANISATIONS.map(async organisation => await fetchJson('GET', entry.listen, `/admin/v1/contracts/${organisation}`, undefined, bearerTokens.operators.mei).catch(() => undefined)))
    return contracts.filter(contract => contract !== undefined).map(({ organisation, revision, text }) => ({ entry: entry.name, organisation, revision, text, atMs, isFinal: false }))
  }
}
