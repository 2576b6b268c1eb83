import { Server } from './Server.mjs'

const LOAD_MS = 900
const PAUSE_CHECK_MS = 5

/** Text of one event of an item, the same at all engines; `bytes` is its least length. */
export const eventData = (itemId, eventId, bytes = 0) => `${itemId}:${eventId}`.padEnd(bytes, '.')

/** Stand-in of a model server with one model: it streams the events of items and takes orders, which it fences. */
export class Engine extends Server {
  version = 1
  /** Accepted orders. */
  orders = []
  /** Every event that was made: item, number and version. */
  events = []
  isLoading = false
  _newestFence = 0

  constructor (store, { id, service, slots, model, eventCount, intervalMs, eventBytes = 0 }) {
    super(store, { id, service, slots, run: async context => await this._stream(context) })
    this.model = model
    /** Number of events of an item, or a function of its id. */
    this._eventCount = eventCount
    this._eventBytes = eventBytes
    this._intervalMs = intervalMs
  }

  record () {
    return { ...super.record(), stage: 'both', models: this._describeModels() }
  }

  control (request, body, response) {
    if (request.url === '/api/report') return send(response, 200, { stage: 'both', models: this._describeModels(), busy: this.isLoading, seq: this.orders.length, num_waiting: 0, num_running: this.running, kv_used: 0, kv_total: 55143, handles: 0 })
    if (request.url === '/api/order') return send(response, this._acceptOrder(JSON.parse(body)))
    // A request that has not started waits for the end of the order.
    if (this.isLoading) return send(response, 503, undefined, { 'Not-Run': '1' })
    return false
  }

  _describeModels () {
    return [{ name: this.model, version: this.version, adapters: [] }]
  }

  /** Takes an order to load a version; the runs continue under it (`retain`). */
  _acceptOrder ({ version, holder, fence, expect, switch_mode: mode }) {
    if (holder === undefined || fence === undefined || mode !== 'retain') return 400
    if (fence < this._newestFence) return 412
    this._newestFence = fence
    if (version === this.version) return 200
    if (this.isLoading || (expect !== undefined && expect !== this.orders.length)) return 409
    this.orders.push({ version, holder, fence, running: this.running })
    this.isLoading = true
    setTimeout(() => {
      this.isLoading = false
      this.version = version
      if (this.isAlive) this.beat()
    }, LOAD_MS)
    return 202
  }

  async _stream ({ request, response }) {
    const itemId = request.headers['request-id']
    const count = typeof this._eventCount === 'function' ? this._eventCount(itemId) : this._eventCount
    let version = this.version
    response.writeHead(200, { 'Content-Type': 'text/event-stream', 'Weight-Versions': String(version) })
    for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= count; id++) {
      await new Promise(resolve => setTimeout(resolve, this._intervalMs))
      while (this.isLoading) await new Promise(resolve => setTimeout(resolve, PAUSE_CHECK_MS))
      if (response.destroyed) return
      const change = version === this.version ? '' : `weight-versions: ${this.version}\n`
      version = this.version
      this.events.push({ itemId, id, version })
      response.write(`${change}id: ${id}\ndata: ${eventData(itemId, id, this._eventBytes)}\n\n`)
    }
    response.end()
  }
}

function send (response, status, answer, headers = {}) {
  response.writeHead(status, { 'Content-Type': 'application/json', ...headers }).end(answer === undefined ? '' : JSON.stringify(answer))
  return true
}
