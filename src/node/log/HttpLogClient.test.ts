import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import { textArbitrary } from '../../common/kernel/test/textArbitrary.js'
import { HttpLogClient } from './HttpLogClient.js'

describe('HttpLogClient', () => {
  let server: Server | undefined
  let client: HttpLogClient

  afterEach(() => {
    client.dispose()
    server?.closeAllConnections()
    server?.close()
  })

  async function startServer (listener: RequestListener): Promise<void> {
    const newServer = server = createServer(listener)
    await new Promise<void>(resolve => newServer.listen(0, '127.0.0.1', resolve))
    const { port } = newServer.address() as AddressInfo
    client = new HttpLogClient({ logAddress: `127.0.0.1:${port}` } as EntrySettings)
  }

  it('appends and reads through the HTTP API of the log', async () => {
    const urls: string[] = []
    await startServer((request, response) => {
      urls.push(`${request.method} ${request.url}`)
      response.end(JSON.stringify(request.method === 'POST'
        ? { first_offset: 7, next_offset: 8 }
        : { records: [{ offset: 7, time_ms: 5, value: { id: 'a' } }], earliest_offset: 0, next_offset: 8 }))
    })
    expect((await client.append('claims', [{ id: 'a' }]))._unsafeUnwrap()).toEqual(7)
    const page = (await client.read('claims', 7, 10, 0))._unsafeUnwrap()
    expect(page).toEqual({ entries: [{ offset: 7, timeMs: 5, value: { id: 'a' } }], earliestOffset: 0, nextOffset: 8 })
    expect(urls).toEqual(['POST /v1/streams/claims/records', 'GET /v1/streams/claims/records?from=7&limit=10&wait_ms=0'])
  })

  // Guards against a sample whose text differs from the generated one when another entry reads it from the log.
  it('reads the texts that were appended, whatever they contain', async () => {
    let value: unknown
    await startServer((request, response) => {
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => {
        if (request.method === 'POST') value = (JSON.parse(Buffer.concat(chunks).toString()) as { records: unknown[] }).records[0]
        const records = [{ offset: 0, time_ms: 5, value }]
        response.end(JSON.stringify(request.method === 'POST' ? { first_offset: 0, next_offset: 1 } : { records, earliest_offset: 0, next_offset: 1 }))
      })
    })
    await fc.assert(fc.asyncProperty(textArbitrary, async text => {
      (await client.append('steps', [text]))._unsafeUnwrap()
      expect((await client.read('steps', 0, 1, 0))._unsafeUnwrap().entries.map(entry => entry.value)).toEqual([text])
    }))
  })

  // A record that appears after its append was reported as not applied would run a call that its caller saw rejected.
  for (const [status, mayTakeEffect] of [[429, false], [503, false], [500, true], [400, false], [200, true]] as const) {
    it(`reports mayTakeEffect ${mayTakeEffect} for an append with status ${status} and no valid body`, async () => {
      await startServer((_request, response) => { response.writeHead(status).end('x') })
      expect((await client.append('claims', []))._unsafeUnwrapErr().mayTakeEffect).toEqual(mayTakeEffect)
    })
  }

  // Guards against a response in trouble that counts as an append that was rejected, or as a page.
  for (const status of ['000', '099', '600', '999']) {
    it(`leaves open whether an append with status ${status} took effect, and reads no page from such a response`, async () => {
      const body = '{"first_offset":7,"next_offset":8,"earliest_offset":0,"records":[]}'
      await startServer(request => request.socket.end(`HTTP/1.1 ${status} Any\r\ncontent-length: ${body.length}\r\n\r\n${body}`))
      const { kind, mayTakeEffect } = (await client.append('claims', []))._unsafeUnwrapErr()
      expect([kind, mayTakeEffect]).toEqual(['log_unavailable', true])
      expect((await client.read('claims', 0, 1, 0))._unsafeUnwrapErr().kind).toEqual('log_unavailable')
    })
  }

  it('reports mayTakeEffect true after a reset and false after a refused connection', async () => {
    await startServer(request => { request.on('data', () => request.socket.destroy()) })
    expect((await client.append('claims', [{ id: 'a' }]))._unsafeUnwrapErr().mayTakeEffect).toEqual(true)
    client.dispose()
    client = new HttpLogClient({ logAddress: '127.0.0.1:1' } as EntrySettings)
    expect((await client.append('claims', [{ id: 'a' }]))._unsafeUnwrapErr().mayTakeEffect).toEqual(false)
  })

  it('maps status 410 to the offset range of the stream', async () => {
    await startServer((_request, response) => { response.writeHead(410).end('{"earliest_offset":4,"next_offset":9}') })
    const error = (await client.read('claims', 1, 10, 0))._unsafeUnwrapErr()
    expect(error.kind === 'out_of_retention' && [error.earliestOffset, error.nextOffset]).toEqual([4, 9])
  })
})
