import { isTrouble, runCase, sleep } from '../common/Case.mjs'
import { configOf, ENGINES, lookupRoute, MODEL, TRIALS_HOST, trialsRoute } from '../common/config.mjs'
import { Engine } from '../common/Engine.mjs'
import { Trainer } from '../common/Trainer.mjs'

const ENTRIES = 3
const ENGINE_COUNT = 2
const EVENTS = 60
const INTERVAL_MS = 40
const LISTED_WITHIN_MS = 20_000
/** Time after the submission of a step at which the next version is named, while its items run. */
const NAMED_AFTER_MS = 800

await runCase(import.meta.url, { entries: ENTRIES, config: configOf(1, [lookupRoute, { ...trialsRoute, single_version: true }]), run })

async function run ({ store, entries, record, startEntries }) {
  const engines = []
  for (let number = 1; number <= ENGINE_COUNT; number++) {
    const engine = new Engine(store, { id: `i-engine${number}`, service: ENGINES, slots: 16, model: MODEL, eventCount: EVENTS, intervalMs: INTERVAL_MS })
    await engine.listen(`127.0.11.${number}`)
    engines.push(engine)
  }
  await startEntries()
  const fronts = entries.list.map(entry => entry.front)
  const steps = [
    new Trainer({ host: TRIALS_HOST, prefix: '/trials/', model: MODEL, id: 'step2', step: 2, itemIds: createIds('a'), minVersion: 1 }),
    new Trainer({ host: TRIALS_HOST, prefix: '/trials/', model: MODEL, id: 'step3', step: 3, itemIds: createIds('b'), minVersion: 2 })
  ]
  const runStep = async trainer => {
    await submit(trainer, fronts, record)
    return await readAll(trainer, fronts, record)
  }
  const nameVersion = () => {
    store.write('keyed.op', `version/${MODEL}`, { model: MODEL, version: 2 })
    record('version 2 is named')
  }
  const first = runStep(steps[0])
  if (isTrouble) {
    // The trainer asks for a step ahead: both are open.
    await sleep(NAMED_AFTER_MS)
    nameVersion()
  } else {
    await first
    await steps[0].end(fronts[0])
    nameVersion()
  }
  const results = [...await runStep(steps[1]), ...await first]
  for (const engine of engines) record(`${engine.id}: orders ${JSON.stringify(engine.orders)}`)
  const events = engines.flatMap(engine => engine.events)
  return results.flatMap(({ id, state, versions }) => {
    const made = [...new Set(events.filter(event => event.itemId === id).map(event => event.version))]
    record(`${id} ${state}: versions ${versions.join(' ')}; events made under ${made.join(' ')}`)
    return versions.length === 1 ? [] : [`VERSION: ${id} was listed with the versions ${versions.join(' ')} on a single_version route`]
  })
}

function createIds (prefix) {
  return Array.from({ length: 8 }, (_, index) => `${prefix}${index}`)
}

async function submit (trainer, fronts, record) {
  for (let attempt = 0; attempt < 10; attempt++) {
    const { status } = await trainer.submit(fronts[attempt % fronts.length])
    record(`${trainer.id} submitted: ${status}`)
    if (status === 202) return
    await sleep(500)
  }
  throw new Error('the batch was not accepted')
}

/** Reads until all results are listed, as a trainer does. */
async function readAll (trainer, fronts, record) {
  const results = []
  const untilMs = performance.now() + LISTED_WITHIN_MS
  for (let count = 0; results.length < trainer.itemIds.length && performance.now() < untilMs; count++) {
    const { page } = await trainer.read(fronts[count % fronts.length], results.length)
    if (page === undefined) await sleep(300)
    else results.push(...page.results)
  }
  record(`${trainer.id}: ${results.length} results`)
  return results
}
