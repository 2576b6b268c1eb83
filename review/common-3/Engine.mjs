import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const HEARTBEAT_MS = 400
const VERSION = 1

/** Data of one event: it depends on the model and on the prompt, which is the body of the item. */
export function eventData (model, prompt, eventId) {
  return `${model}:${createHash('sha256').update(prompt).digest('hex').slice(0, 12)}:${eventId}`
}

/** Whole text of an item. */
export function textOf (model, prompt, eventCount) {
  return Array.from({ length: eventCount }, (_, index) => eventData(model, prompt, index + 1)).join('\n')
}

/** A model server of one model, which streams the events of items. */
export class Engine {
  /** Runs in order: `{ itemId, model, lastEventId, startedAtMs, endedAtMs, isEndedBySender }`. */
  runs = []
  _running = 0
  _seq = 0
  _bornMs = Date.now()

  constructor (id, service, model, slots, store, eventIntervalMs, record) {
    Object.assign(this, { id, service, model, slots, store, eventIntervalMs, record })
    this._server = createServer((request, response) => {
      this._serve(request, response).catch(() => request.destroy())
    })
    this._server.keepAliveTimeout = 60_000
  }

  /** `toPublicAddress` returns the address in the server's record, for instance that of a proxy. */
  async listen (toPublicAddress = async address => address) {
    await new Promise(resolve => this._server.listen(0, '127.0.0.1', resolve))
    this.address = await toPublicAddress(`127.0.0.1:${this._server.address().port}`)
    this._beat()
    this._timer = setInterval(() => this._beat(), HEARTBEAT_MS)
  }

  dispose () {
    clearInterval(this._timer)
    this._server.close()
    this._server.closeAllConnections()
  }

  _beat () {
    this._seq += 1
    const { service, address, slots, model } = this
    this.store.write('keyed.servers', this.id, { service, address, zone: 'zone-a', version: 'v1', slots, state: 'ready', cold_left_ms: 0, stage: 'both', models: [{ name: model, version: VERSION, adapters: [] }], seq: this._seq, born: this._bornMs })
  }

  async _serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const itemId = String(request.headers['request-id'])
    response.setHeader('request-id', itemId)
    response.setHeader('server-load', `${this._running},0,${this.slots}`)
    if (request.headers['expect-instance'] !== undefined && request.headers['expect-instance'] !== this.id) return response.writeHead(421, { 'not-run': '1' }).end()
    if (request.url === '/api/report') return response.end(JSON.stringify({ stage: 'both', models: [{ name: this.model, version: VERSION, adapters: [] }], busy: false, seq: 0, num_waiting: 0, num_running: this._running, kv_used: 0, kv_total: 50_000, handles: 0 }))
    if (request.url === '/health') return response.writeHead(200, { 'instance-id': this.id }).end()
    if (request.headers.model !== this.model) return response.writeHead(422).end()
    if (this._running >= this.slots) return response.writeHead(503, { 'not-run': '1' }).end()
    await this._run(request, response, itemId, Buffer.concat(chunks))
  }

  async _run (request, response, itemId, prompt) {
    const lastEventId = Number(request.headers['last-event-id'] ?? 0)
    const eventCount = Number(String(request.headers['token-counts']).split(',')[1])
    const run = { itemId, model: this.model, lastEventId, startedAtMs: performance.now(), endedAtMs: Infinity, isEndedBySender: false }
    this.runs.push(run)
    this.record(`${this.id} runs ${itemId} of ${this.model}, after event ${lastEventId}`)
    this._running += 1
    response.writeHead(200, { 'content-type': 'text/event-stream', 'weight-versions': String(VERSION), 'server-stamp': `${this.id}.${this.runs.length}` })
    for (let id = lastEventId + 1; id <= eventCount && !response.destroyed; id++) {
      await sleep(this.eventIntervalMs)
      response.write(`id: ${id}\ndata: ${eventData(this.model, prompt, id)}\n\n`)
    }
    this._running -= 1
    run.endedAtMs = performance.now()
    run.isEndedBySender = response.destroyed
    response.end()
  }
}
