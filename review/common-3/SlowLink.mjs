import { connect, createServer } from 'node:net'

const CHUNK_BYTES = 8192
const TICK_MS = 5

/** The link of one machine: whatever is sent through its proxies shares its bandwidth, chunk by chunk in turn. */
export class SlowLink {
  _waiting = []
  _credit = 0
  _lastMs = performance.now()

  /** `bytesPerS` is infinite for a link without a limit. */
  constructor (bytesPerS) {
    this._bytesPerS = bytesPerS
    this._servers = []
    this._sockets = new Set()
    this._timer = setInterval(() => this._grant(), TICK_MS)
  }

  /** Returns the address of a proxy that forwards to `target` over this link. */
  async addProxy (target) {
    const [host, port] = target.split(':')
    const server = createServer(client => this._forward(client, connect({ host, port: Number(port), noDelay: true })))
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    this._servers.push(server)
    return `127.0.0.1:${server.address().port}`
  }

  dispose () {
    clearInterval(this._timer)
    for (const socket of this._sockets) socket.destroy()
    for (const server of this._servers) server.close()
  }

  _forward (client, upstream) {
    for (const socket of [client, upstream]) {
      this._sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('close', () => {
        this._sockets.delete(socket)
        client.destroy()
        upstream.destroy()
      })
    }
    client.setNoDelay(true)
    upstream.pipe(client)
    client.pause()
    this._pump(client, upstream).catch(() => client.destroy())
  }

  async _pump (client, upstream) {
    let isEnded = false
    client.on('end', () => { isEnded = true })
    while (!client.destroyed) {
      const available = client.readableLength
      const chunk = client.read(available === 0 ? undefined : Math.min(CHUNK_BYTES, available))
      if (chunk === null) {
        if (isEnded) {
          upstream.end()
          return
        }
        await new Promise(resolve => {
          const done = () => {
            client.off('readable', done)
            client.off('close', done)
            client.off('end', done)
            resolve()
          }
          client.on('readable', done)
          client.on('close', done)
          client.on('end', done)
        })
        continue
      }
      await this._take(chunk.length, client)
      if (!client.destroyed) upstream.write(chunk)
    }
  }

  async _take (bytes, client) {
    if (this._bytesPerS === Infinity) return
    await new Promise(resolve => this._waiting.push({ bytes, client, resolve }))
  }

  _grant () {
    const nowMs = performance.now()
    this._credit = Math.min(this._credit + (nowMs - this._lastMs) / 1000 * this._bytesPerS, Math.max(CHUNK_BYTES * 2, this._bytesPerS * 4 * TICK_MS / 1000))
    this._lastMs = nowMs
    while (this._waiting.length > 0 && this._waiting[0].bytes <= this._credit) {
      const { bytes, client, resolve } = this._waiting.shift()
      // What its sender has given up does not use the link.
      if (!client.destroyed) this._credit -= bytes
      resolve()
    }
  }
}
