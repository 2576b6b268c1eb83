import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'
import { defaultUpstreamProtocol } from './defaultUpstreamProtocol.js'

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n'

describe('answers without a length', () => {
  let server: Server
  let address: string
  let finish: (socket: Socket) => void
  const client = new HttpUpstreamClient({ maxBodyBytes: 1000, maxHeaderBytes: 1000 }, { ...defaultUpstreamProtocol, acceptsCloseDelimited: true })

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.write(`${HEAD}half of it`)
        setTimeout(() => finish(socket), 30)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  after(() => {
    client.dispose()
    server.close()
  })

  const call = async (): Promise<string> => {
    const request = { requestId: 'r', method: 'GET', path: '/', headers: {}, deadlineAtMs: performance.now() + 2000 }
    const result = await client.call(address, request, new AbortController().signal)
    return result.match(answer => Buffer.from(answer.body).toString(), error => error.kind)
  }

  it('are whole when their connection ends regularly', async () => {
    finish = socket => socket.end()
    expect(await call()).toEqual('half of it')
  })

  it('are not whole when their connection is reset, which undici takes for the end', async () => {
    finish = socket => socket.resetAndDestroy()
    expect(await call()).not.toEqual('half of it')
  })
})
