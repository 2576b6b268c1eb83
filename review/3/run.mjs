import { configOf, ENGINES, lookupRoute, MODEL, TRIALS_HOST, trialsRoute } from '../common/config.mjs'
import { isTrouble, runCase, sleep } from '../common/Case.mjs'
import { Engine, eventData } from '../common/Engine.mjs'
import { Trainer } from '../common/Trainer.mjs'

const ENTRIES = 3
const EVENTS = 20
const LISTED_WITHIN_MS = 15_000
/** `config_apply_ms` and `settle_ms` of the small sheets. */
const CONFIG_APPLY_MS = 2000
const SETTLE_MS = 1000
/** Times at which the results are read again, after the change and both bounds. */
const READS = 3
const READ_INTERVAL_MS = 1500

await runCase(import.meta.url, { entries: ENTRIES, config: configOf(1, [lookupRoute, trialsRoute]), run })

async function run ({ store, entries, record, startEntries }) {
  for (const number of [1, 2]) {
    const engine = new Engine(store, { id: `i-engine${number}`, service: ENGINES, slots: 16, model: MODEL, eventCount: EVENTS, intervalMs: 20 })
    await engine.listen(`127.0.11.${number}`)
  }
  await startEntries()
  const fronts = entries.list.map(entry => entry.front)
  const itemIds = Array.from({ length: 8 }, (_, index) => `a${index}`)
  const trainer = new Trainer({ host: TRIALS_HOST, prefix: '/trials/', model: MODEL, id: '7c41e09b52d6a3f8', itemIds, minVersion: 1 })
  let submitted = 0
  for (let attempt = 0; submitted !== 202 && attempt < 10; attempt++) {
    submitted = (await trainer.submit(fronts[attempt % ENTRIES])).status
    record(`submitted: ${submitted}`)
    if (submitted !== 202) await sleep(500)
  }
  const known = await readAll(trainer, fronts[0])
  record(`${known.length} results have been read: ${known.map(result => result.id).join(' ')}`)
  if (known.length !== itemIds.length) throw new Error('the batch was not completed')
  if (!known.every(result => result.text === Array.from({ length: EVENTS }, (_, index) => eventData(result.id, index + 1)).join('\n'))) throw new Error('wrong text')

  const routes = isTrouble ? [lookupRoute] : [lookupRoute, trialsRoute]
  store.write('keyed.op', 'config', configOf(4, routes))
  record(`the store has confirmed version 4 with the routes ${routes.map(route => route.name).join(', ')}`)
  await sleep(CONFIG_APPLY_MS + SETTLE_MS)
  const violations = []
  for (let round = 0; round < READS; round++) {
    for (const front of fronts) {
      const { status, page } = await trainer.read(front)
      record(`read at ${front}: ${status}, ${page?.results.length ?? 0} results`)
      if (status === 404 || status === 410) violations.push(`LOST: ${front} answers ${status} for a batch submission that it accepted and whose results had been read`)
      else if (status === 200 && JSON.stringify(page.results) !== JSON.stringify(known)) violations.push(`LOST: ${front} lists other results than before`)
    }
    await sleep(READ_INTERVAL_MS)
  }
  return violations
}

/** Reads until all results are listed, as a trainer does. */
async function readAll (trainer, front) {
  const results = []
  const untilMs = performance.now() + LISTED_WITHIN_MS
  while (results.length < trainer.itemIds.length && performance.now() < untilMs) {
    const { page } = await trainer.read(front, results.length)
    if (page === undefined) await sleep(300)
    else results.push(...page.results)
  }
  return results
}
