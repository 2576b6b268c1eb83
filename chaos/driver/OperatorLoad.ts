import { setTimeout as sleep } from 'node:timers/promises'
import { readExampleContract } from '../../tools/harness/readExampleContract.js'
import type { EntryProcess } from '../../tools/harness/EntryProcess.js'
import { fetchJson } from '../../tools/harness/fetchJson.js'
import { bearerTokens } from '../../tools/harness/bearerTokens.js'
import type { ContractView } from '../checker/ContractView.js'
import type { Publication } from '../checker/Publication.js'
import type { EntryPool } from './EntryPool.js'
import type { Site } from './Site.js'

const ORGANISATIONS = ['lin-shun', 'almaskert'] as const
const PUBLISH_EVERY_MS = 1000
const VIEW_EVERY_MS = 400

/** Two operators who publish conflicting contracts at the same time, and the contracts that entries show. */
export class OperatorLoad {
  readonly publications: Publication[] = []
  readonly views: ContractView[] = []
  private _isOn = true
  private _count = 0

  constructor (private readonly _site: Site, private readonly _pool: EntryPool) {}

  /** Publishes and views until `stop`. */
  async run (): Promise<void> {
    await Promise.all([this._publishAll(), ...this._site.cluster.entries.map(async entry => await this._viewAll(entry))])
  }

  /** Ends the loop after the publications in progress. */
  stop (): void {
    this._isOn = false
  }

  /** Views of every entry; true when all entries show the highest revision that was accepted. */
  async settle (): Promise<boolean> {
    const views = (await Promise.all(this._site.cluster.entries.map(async entry => await this._view(entry)))).flat()
    const isSettled = ORGANISATIONS.every(organisation => {
      const accepted = this.publications.filter(item => item.organisation === organisation).map(item => item.revision ?? 0)
      const shown = views.filter(view => view.organisation === organisation).map(view => view.revision)
      return shown.length === this._site.cluster.entries.length && Math.min(...shown) >= Math.max(1, ...accepted)
    })
    this.views.push(...views.map(view => ({ ...view, isFinal: isSettled })))
    return isSettled
  }

  private async _publishAll (): Promise<void> {
    while (this._isOn) {
      await Promise.all(ORGANISATIONS.map(async organisation => await this._race(organisation).catch(() => {})))
      await sleep(PUBLISH_EVERY_MS)
    }
  }

  private async _race (organisation: typeof ORGANISATIONS[number]): Promise<void> {
    const { open } = this._pool
    const turn = this._count++
    const entries = [open[turn % open.length]!, open[(turn + 1) % open.length]!]
    const { revision: base } = await fetchJson('GET', entries[0]!.listen, `/admin/v1/contracts/${organisation}`, undefined, bearerTokens.operators.mei)
    const example = await readExampleContract(organisation)
    await Promise.all((['mei', 'ilona'] as const).map(async (operator, index) => {
      const text = `${example}\n; publication ${turn} by ${operator}\n`
      const startedAtMs = Date.now()
      const entry = entries[index]!
      const answer = await fetchJson('POST', entry.listen, `/admin/v1/contracts/${organisation}`, { base_revision: base, text }, bearerTokens.operators[operator]).catch(() => undefined)
      this.publications.push({ organisation, operator, entry: entry.name, base, text, startedAtMs, endedAtMs: Date.now(), revision: answer?.revision })
    }))
  }

  private async _viewAll (entry: EntryProcess): Promise<void> {
    while (this._isOn) {
      this.views.push(...await this._view(entry))
      await sleep(VIEW_EVERY_MS)
    }
  }

  /** Contracts of an entry that is ready before and after; nothing otherwise. */
  private async _view (entry: EntryProcess): Promise<ContractView[]> {
    const atMs = Date.now()
    if (await entry.fetchReadinessStatus() !== 200) return []
    const shown = await Promise.all(ORGANISATIONS.map(async organisation => await fetchJson('GET', entry.listen, `/admin/v1/contracts/${organisation}`, undefined, bearerTokens.operators.mei).catch(() => undefined)))
    return shown.filter(item => item !== undefined).map(({ organisation, revision, text }) => ({ entry: entry.name, organisation, revision, text, atMs, isFinal: false }))
  }
}
