import type { Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'
import { defaultUpstreamProtocol } from './defaultUpstreamProtocol.js'
import { RawServer } from './test/RawServer.js'

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n'

describe('responses delimited by the end of the connection', () => {
  let endResponse: (socket: Socket) => void
  const client = new HttpUpstreamClient({ maxBodyBytes: 1000, maxHeaderBytes: 1000 }, { ...defaultUpstreamProtocol, acceptsCloseDelimited: true })

  const server = new RawServer(socket => {
    socket.write(`${HEAD}half of it`)
    setTimeout(() => endResponse(socket), 30)
  })

  before(async () => await server.listen())
  after(() => {
    client.dispose()
    server.dispose()
  })

  const call = async (): Promise<string> => {
    const request = { requestId: 'r', method: 'GET', path: '/', headers: {}, deadlineAtMs: performance.now() + 2000 }
    const result = await client.call(server.address, request, new AbortController().signal)
    return result.match(response => Buffer.from(response.body).toString(), error => error.kind)
  }

  it('are complete when their connection is closed in an orderly way', async () => {
    endResponse = socket => socket.end()
    expect(await call()).toEqual('half of it')
  })

  it('are not complete when their connection is reset, which undici treats as the end', async () => {
    endResponse = socket => socket.resetAndDestroy()
    expect(await call()).not.toEqual('half of it')
  })
})
