import { createServer } from 'node:http'
import { Link } from './Link.mjs'
import { ServerRegistration } from '../../dist/platform/standin/ServerRegistration.js'

/** Time of one event: 56 tokens at 0.647 ms. */
const EVENT_INTERVAL_MS = 36
const LOAD_MS = 900

/**
 * Stand-in of a model server: streams the events of items, loads weight versions when it is ordered to, and records its
 * runs. `eventsOf(itemId)` returns the data of all events of an item.
 */
export class Engine {
  runs = []
  /** All orders as they arrived. */
  orders = []
  running = 0
  version = 1
  _seq = 0
  _newestFence = 0
  _isLoading = false

  constructor (id, service, model, slots, store, eventsOf, { hasLink = false, checksFences = true } = {}) {
    Object.assign(this, { id, service, model, slots, _store: store, _eventsOf: eventsOf, _hasLink: hasLink, _checksFences: checksFences })
    this._server = createServer((request, response) => { this._serve(request, response).catch(() => request.destroy()) })
    this._server.keepAliveTimeout = 120_000
  }

  async listen () {
    await new Promise(resolve => this._server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this._server.address().port}`
    if (this._hasLink) {
      this.link = new Link(this.address)
      await this.link.listen()
    }
    this._registration = new ServerRegistration(this._store, this.id, () => ({
      service: this.service, address: this.link?.address ?? this.address, slots: this.slots, models: [{ name: this.model, version: this.version }]
    }))
  }

  dispose () {
    this.link?.dispose()
    this._registration?.dispose()
    this._server.close()
    this._server.closeAllConnections()
  }

  async _serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    response.setHeader('request-id', String(request.headers['request-id'] ?? ''))
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) response.writeHead(421).end()
    else if (request.url === '/api/report') response.end(JSON.stringify({ stage: 'both', models: [{ name: this.model, version: this.version, adapters: [] }], busy: this._isLoading, seq: this._seq, num_waiting: 0, num_running: this.running }))
    else if (request.url === '/api/order') response.writeHead(this._acceptOrder(JSON.parse(body.toString()))).end()
    else if (this.running >= this.slots || this._isLoading) response.writeHead(503, { 'not-run': '1', 'server-load': `${this.running},0,${this.slots}` }).end()
    else await this._run(request, response, body)
  }

  /** Returns the status of the response. */
  _acceptOrder ({ version, holder, fence, expect }) {
    this.orders.push({ holder, fence, version, expect, atMs: performance.now() })
    if (this._checksFences && fence < this._newestFence) return 412
    this._newestFence = Math.max(fence, this._newestFence)
    if (version <= this.version) return 200
    if (this._isLoading || (expect !== undefined && expect !== this._seq)) return 409
    this._seq += 1
    this._isLoading = true
    setTimeout(() => {
      this._isLoading = false
      this.version = version
      this._registration.update()
    }, LOAD_MS).unref()
    return 202
  }

  async _run (request, response, body) {
    const itemId = String(request.headers['request-id'])
    const lastEventId = Number(request.headers['last-event-id'] ?? 0)
    const run = { itemId, engine: this.id, path: request.url, lastEventId, startedAtMs: performance.now(), bodyBytes: body.length, events: 0, isComplete: false }
    this.runs.push(run)
    this.running += 1
    const { socket } = request
    let wake = () => {}
    response.on('close', () => wake())
    response.on('drain', () => wake())
    let { version } = this
    response.writeHead(200, { 'content-type': 'text/event-stream', 'weight-versions': String(version), 'server-load': `${this.running},0,${this.slots}`, 'server-stamp': `${this.id}.${this.runs.length}` })
    const events = this._eventsOf(itemId)
    for (let id = lastEventId + 1; id <= events.length && !socket.destroyed; id++) {
      await new Promise(resolve => setTimeout(resolve, EVENT_INTERVAL_MS))
      const change = version === this.version ? '' : `weight-versions: ${this.version}\n`
      version = this.version
      if (!socket.destroyed && !response.write(`${change}id: ${id}\ndata: ${events[id - 1]}\n\n`)) await new Promise(resolve => { wake = resolve })
      run.events += 1
    }
    run.isComplete = !socket.destroyed
    run.endedAtMs = performance.now()
    this.running -= 1
    response.end()
  }
}
