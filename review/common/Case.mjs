import { appendFileSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Entries } from './Entries.mjs'
import { Store } from './Store.mjs'

export const HELD = 0
export const BROKEN = 1
export const COULD_NOT_RUN = 2
const STORE_HOST = '127.0.10.1'
const MAX_DURATION_MS = 115_000

/** Whether the script shall disturb the deployment. */
export const isTrouble = process.env.TROUBLE !== '0'
export const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))

/**
 * Runs a case in the folder of `url`: starts a store and entries, calls `run`, ends all and exits. `run` returns the
 * violations of the rule, one line each.
 */
export async function runCase (url, { entries: count, config, run }) {
  const file = join(dirname(fileURLToPath(url)), 'record.txt')
  writeFileSync(file, '')
  const startedAt = performance.now()
  const record = line => appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`)
  const store = new Store()
  let entries
  const finish = code => {
    record(`exit ${code}`)
    entries?.stop()
    store.close()
    process.exit(code)
  }
  setTimeout(() => {
    record('the case took too long')
    finish(COULD_NOT_RUN)
  }, MAX_DURATION_MS)
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => finish(COULD_NOT_RUN))
  process.on('uncaughtException', error => {
    record(`could not run: ${error.stack}`)
    finish(COULD_NOT_RUN)
  })
  try {
    await store.listen(STORE_HOST)
    store.write('keyed.op', 'config', config)
    entries = new Entries(store.address)
    const violations = await run({ store, entries, record, startEntries: async () => { await entries.start(count) } })
    for (const violation of violations) record(`violation: ${violation}`)
    console.log(violations.length === 0 ? 'held' : violations.join('\n'))
    finish(violations.length === 0 ? HELD : BROKEN)
  } catch (error) {
    record(`could not run: ${error.stack}`)
    console.error(error)
    finish(COULD_NOT_RUN)
  }
}
