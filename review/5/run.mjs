import { call } from '../common/call.mjs'
import { isTrouble, runCase, sleep } from '../common/Case.mjs'
import { configOf, lookupRoute, ORDERS, ORDERS_HOST, ticketRoute } from '../common/config.mjs'
import { answer, HEARTBEAT_MS, Server } from '../common/Server.mjs'

const ENTRIES = 3
const SERVERS = 4
const INTERVAL_MS = 30
const WORK_MS = 300
const DEADLINE_MS = 1500
/** Bounds of the small sheets. */
const DRAIN_MS = 2000
const CONTACT_MS = 3000
/** `how late` of `platform_lost`: a write is done 1 to 6 s later. */
const LATE_MS = 6000
/** The store is stable again this long after the one write that it did not answer. */
const NOTICE_AFTER_MS = CONTACT_MS + 200
/** A leaving server serves for `drain_ms` and a little longer. */
const SERVES_LONGER_MS = 1300

await runCase(import.meta.url, { entries: ENTRIES, config: configOf(1, [lookupRoute, ticketRoute]), run })

async function run ({ store, entries, record, startEntries }) {
  const servers = []
  for (let number = 1; number <= SERVERS; number++) {
    const server = new Server(store, { id: `i-order${number}`, service: ORDERS, run: runAtServer })
    await server.listen(`127.0.11.${number}`)
    servers.push(server)
  }
  await startEntries()
  const leaving = servers[0]
  let isRunning = true
  const requests = sendRequests(entries, () => isRunning)
  await sleep(2 * HEARTBEAT_MS)

  if (isTrouble) {
    const late = leaving.record()
    record(`the store does not answer the heartbeat ${late.seq} of ${leaving.id} (${late.state}), and will execute it ${LATE_MS} ms later`)
    setTimeout(() => {
      store.write('keyed.servers', leaving.id, late)
      record(`the store executes the heartbeat ${late.seq} (${late.state})`)
    }, LATE_MS)
  }
  await sleep(NOTICE_AFTER_MS)
  leaving.state = 'draining'
  leaving.beat()
  const noticeAt = performance.now()
  record(`${leaving.id} reports that it is draining, with ${leaving.seq}; the store has accepted it`)
  await sleep(DRAIN_MS + SERVES_LONGER_MS)
  leaving.crash()
  store.write('keyed.servers', leaving.id)
  record(`${leaving.id} has left`)
  await sleep(500)
  isRunning = false
  const sent = await requests
  for (const { requestId, status, at } of sent.filter(request => request.status !== 200)) record(`${requestId} sent ${Math.round(at - noticeAt)} ms after the notice was answered ${status}`)
  const late = leaving.runs.filter(({ at }) => at > noticeAt + DRAIN_MS)
  const answers = new Map(sent.map(request => [request.requestId, request.status]))
  return late.map(({ requestId, at }) => `DRAIN: ${requestId} reached ${leaving.id} ${Math.round(at - noticeAt)} ms after it had reported that it is draining; answered ${answers.get(requestId)}`)
}

async function runAtServer ({ request, response, server }) {
  await sleep(WORK_MS)
  answer(response, request.headers['request-id'], server.id)
}

/** Sends lookups and tickets in turn to all entries until `isRunning` ends it. */
async function sendRequests (entries, isRunning) {
  const sent = []
  for (let index = 0; isRunning(); index++) {
    const requestId = `d${index.toString(16).padStart(15, '0')}`
    const path = `${index % 2 === 0 ? '/lookup/' : '/ticket/'}${requestId}`
    const at = performance.now()
    const { front } = entries.list[index % ENTRIES]
    sent.push(call(front, { method: 'POST', path, headers: { host: ORDERS_HOST, 'request-id': requestId, 'deadline-ms': String(DEADLINE_MS) }, body: requestId, timeoutMs: DEADLINE_MS + 1000 })
      .then(({ status }) => ({ requestId, status, at })))
    await sleep(INTERVAL_MS)
  }
  return await Promise.all(sent)
}
