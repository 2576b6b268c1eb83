import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { ByteAccumulator } from '../../common/kernel/ByteAccumulator.js'
import { releaseBytes } from '../../common/kernel/releaseBytes.js'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'

const BODY_BYTES = 20_000_000
const CHUNK_BYTES = 1_000_000
const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

describe('bodies that are freed after the response', () => {
  let server: Server
  let sockets: Socket[]
  let client: HttpUpstreamClient

  beforeEach(async () => {
    sockets = []
    client = new HttpUpstreamClient({ maxBodyBytes: BODY_BYTES, maxHeaderBytes: 16_384 } as EntrySettings)
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      // Responds to the beginning of a request and reads no further for a while.
      socket.once('data', () => {
        socket.write(RESPONSE)
        socket.pause()
        setTimeout(() => socket.resume(), 50)
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(() => {
    client.dispose()
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  // Guards against a next request on a connection whose rest of a body has been freed, which breaks off without a response.
  it('leave no connection in use on which the rest of the body is still to be sent', async () => {
    const body = new ByteAccumulator(BODY_BYTES)
    for (let bytes = 0; bytes < BODY_BYTES; bytes += CHUNK_BYTES) body.append(Buffer.alloc(CHUNK_BYTES, 'x'))
    const bytes = body.take()
    const send = async (requestBody?: Uint8Array): Promise<number | undefined> => {
      const request = { requestId: 'a', method: 'POST', path: '/', headers: {}, deadlineAtMs: performance.now() + 2000, body: requestBody }
      return (await client.call(`127.0.0.1:${(server.address() as AddressInfo).port}`, request, new AbortController().signal)).unwrapOr(undefined)?.status
    }
    expect(await send(bytes)).toEqual(200)
    releaseBytes(bytes)
    expect(await send(Buffer.from('x'))).toEqual(200)
    expect(sockets.length).toEqual(2)
  })
})
