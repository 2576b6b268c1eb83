import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { readBody } from './readBody.mjs'

export const HEARTBEAT_MS = 1200

/** Stand-in of a server that registers itself in the store. `run` answers a request that the server has begun to run. */
export class Server {
  /** Every request that the server began to run: id, path and time. */
  runs = []
  state = 'ready'
  isAlive = true
  seq = 0
  /** Writes the record into the store; replaced where a test delays it. */
  writeRecord = record => { this._store.write('keyed.servers', this.id, record) }
  running = 0
  _server = createServer((request, response) => {
    this._serve(request, response).catch(() => response.destroy())
  })

  constructor (store, { id, service, zone = 'zone-a', slots = 6, run }) {
    Object.assign(this, { id, service, zone, slots, run })
    this._store = store
  }

  async listen (host) {
    await new Promise(resolve => this._server.listen(0, host, resolve))
    this.address = `${host}:${this._server.address().port}`
    this.born = Date.now()
    this.beat()
    this._timer = setInterval(() => this.beat(), HEARTBEAT_MS)
  }

  record () {
    const { service, address, zone, slots, state, born } = this
    return { service, address, zone, version: 'v1', slots, state, cold_left_ms: 0, seq: ++this.seq, born }
  }

  beat () {
    this.writeRecord(this.record())
  }

  /** Answers requests that are no work; returns whether it has answered. */
  control () {
    return false
  }

  /** Ends the server as a crash does; its record stays until it has been silent for three heartbeats. */
  crash () {
    this.isAlive = false
    clearInterval(this._timer)
    this._server.close()
    this._server.closeAllConnections()
  }

  async _serve (request, response) {
    const requestId = request.headers['request-id']
    const body = await readBody(request)
    if (requestId !== undefined) response.setHeader('Request-Id', requestId)
    response.setHeader('Server-Load', `${this.running},0,${this.slots}`)
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'Instance-Id': this.id }).end()
    if (this.control(request, body, response)) return
    if (this.running >= this.slots) return response.writeHead(503, { 'Not-Run': '1' }).end()
    this.runs.push({ server: this.id, requestId, path: request.url, at: performance.now() })
    this.running += 1
    try {
      await this.run({ request, response, body, server: this })
    } finally {
      this.running -= 1
    }
  }
}

/** Answers with 200, a body of the server's own and its stamp. */
export function answer (response, requestId, serverId) {
  const body = `${requestId} by ${serverId}`
  const digest = createHash('sha256').update(body).digest('hex').slice(0, 8)
  response.writeHead(200, { 'Server-Stamp': `${serverId}.${requestId}.${body.length}.${digest}`, 'Content-Length': body.length }).end(body)
}
