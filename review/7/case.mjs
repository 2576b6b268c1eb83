import { BATCH_PREFIX, Cluster, HOST, MODEL } from '../common-2/Cluster.mjs'
import { Record } from '../common-2/Record.mjs'
import { send, sleep } from '../common-2/client.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const BATCH_ID = '7c41e09b52d6a3f8'
const ITEMS = 8
const EVENTS = 26
/** U+FEFF, the first character of many CSV and text files, and so of outputs that are such files. */
const BYTE_ORDER_MARK = '\ufeff'
const ACCEPT_TIMEOUT_MS = 10_000
const LIST_TIMEOUT_MS = 20_000
const READ_TIMEOUT_MS = 20_000
const RESTART_MS = 1000
const RETRY_MS = 300

const record = new Record(import.meta.dirname)
/** Every other item generates a CSV file that begins with a byte order mark. */
const eventsOf = itemId => Array.from({ length: EVENTS }, (_, index) => {
  const isMarked = Number.parseInt(itemId.slice(-1), 16) % 2 === 0
  return `${index === 0 && isMarked ? BYTE_ORDER_MARK : ''}order ${itemId}, line ${index}`
})
const itemIds = Array.from({ length: ITEMS }, (_, index) => `e5b2907c14da6f3${index}`)

const cluster = await Cluster.start({ entries: 3, engines: 3, slots: 12, memoryMb: 230, restartMs: RESTART_MS, eventsOf })
  .catch(error => { record.add(`not started: ${error.message}`); process.exit(2) })
let isBroken = false
let exitCode = 2
try {
  await submit()
  const before = await readAll('before', cluster.entries[0], result => result.length === ITEMS, LIST_TIMEOUT_MS)
  if (before !== undefined) {
    check('before', before)
    if (HAS_TROUBLE) {
      const leader = cluster.leader()
      record.add(`kill -9 ${leader.name}, which leads`)
      leader.signal('SIGKILL')
    }
    await sleep(4000)
    let reads = 0
    for (const entry of cluster.entries) {
      const after = await readAll(`after, at ${entry.name}`, entry, results => results.length === ITEMS, READ_TIMEOUT_MS)
      if (after === undefined) continue
      reads += 1
      check(`after, at ${entry.name}`, after)
      before.forEach((result, position) => {
        if (JSON.stringify(result) === JSON.stringify(after[position])) return
        isBroken = true
        record.add(`position ${position} held ${JSON.stringify(result).slice(0, 130)} and holds ${JSON.stringify(after[position]).slice(0, 130)}`)
      })
    }
    if (reads > 0) exitCode = isBroken ? 1 : 0
  }
} finally {
  await cluster.dispose()
}
record.add(exitCode === 1 ? 'rule broken: TWICE, a position holds another result than before' : exitCode === 0 ? 'rule held' : 'the case could not run')
process.exit(exitCode)

async function submit () {
  const items = itemIds.map((id, index) => ({ id, path: `${BATCH_PREFIX}3/${id}`, headers: { Model: MODEL, 'Token-Counts': '540,2000', 'Prompt-Prefix': '9c2e41:300' }, body: Buffer.from(id).toString('base64'), tokens: 2540, group: `g${index >> 2}` }))
  const body = JSON.stringify({ step: 0, model: MODEL, min_version: 1, group_count: 2, items })
  const untilMs = performance.now() + ACCEPT_TIMEOUT_MS
  while (performance.now() < untilMs) {
    const { status } = await send(cluster.entries[1].addresses.listen, { method: 'POST', path: `${BATCH_PREFIX}${BATCH_ID}`, host: HOST, headers: { 'request-id': BATCH_ID, 'content-type': 'application/json' }, body })
    record.add(`POST batch: ${status}`)
    if (status === 202) return
    await sleep(RETRY_MS)
  }
}

/** Reads from position 0 until `isDone`; undefined if that does not happen in time. */
async function readAll (when, entry, isDone, timeoutMs) {
  const untilMs = performance.now() + timeoutMs
  while (performance.now() < untilMs) {
    const { status, body } = await send(entry.addresses.listen, { path: `/api/lots/${BATCH_ID}?after=0`, host: HOST })
    const results = status === 200 ? JSON.parse(body.toString()).results : []
    if (isDone(results)) {
      record.add(`${when}: ${results.length} results read`)
      return results
    }
    await sleep(RETRY_MS)
  }
  record.add(`${when}: not all results in time`)
  return undefined
}

/** Compares texts with what the model servers sent. */
function check (when, results) {
  for (const { id, state, text } of results) {
    if (state === 'completed' && text === eventsOf(id).join('\n')) continue
    isBroken = true
    record.add(`${when}: the text of ${id} begins with ${JSON.stringify(text.slice(0, 12))}, that of its events with ${JSON.stringify(eventsOf(id)[0].slice(0, 12))}`)
  }
}
