import type { Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { UpstreamRequest } from '../../common/upstream/client/UpstreamRequest.js'
import { defaultUpstreamProtocol } from './defaultUpstreamProtocol.js'
import { fetchJson } from './fetchJson.js'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'
import { RawServer } from './test/RawServer.js'

const TIMEOUT_MS = 1000
const REQUEST_ID_HEADER = 'request-id'
const neverAborted = new AbortController().signal
/** Outside of 100 to 599, or no three digits, or a change of protocol that nobody asked for. */
const INVALID_STATUSES = ['000', '001', '020', '099', '101', '600', '700', '999', '0200', '20', '', '-1', 'abc']

// Guards against bytes that are no answer in HTTP and are passed on as one, or believed in what they say.
describe('responses with a status that is not valid in HTTP', () => {
  let client: HttpUpstreamClient
  let server: RawServer
  /** Connection of each request, in the order of the requests. */
  let requestSockets: Socket[]
  /** What the server sends to the requests, in their order, on whatever connection. */
  let responses: string[]

  beforeEach(async () => {
    client = new HttpUpstreamClient({ maxBodyBytes: 10_000, maxHeaderBytes: 8000 }, { ...defaultUpstreamProtocol, requestIdHeader: REQUEST_ID_HEADER, acceptsCloseDelimited: true })
    requestSockets = []
    responses = []
    server = new RawServer(socket => {
      requestSockets.push(socket)
      socket.write(responses.shift() ?? '')
    })
    await server.listen()
  })
  afterEach(() => {
    client.dispose()
    server.dispose()
  })

  const request = (requestId: string): UpstreamRequest => ({ requestId, method: 'POST', path: '/x', headers: {}, body: Buffer.from('x'), deadlineAtMs: performance.now() + TIMEOUT_MS })
  const response = (status: string, requestId: string, body = requestId): string =>
    `HTTP/1.1 ${status} Any\r\n${REQUEST_ID_HEADER}: ${requestId}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  const expectUnknown = (error: { sent: boolean, kind: string }, status: string): void => {
    expect([status, error.sent, ['invalid_status', 'truncated', 'reset'].includes(error.kind)]).toEqual([status, true, true])
  }

  for (const status of INVALID_STATUSES) {
    it(`are no response to a call, and end its connection: "${status}"`, async () => {
      responses = [response(status, 'a'), response('200', 'b')]
      expectUnknown((await client.call(server.address, request('a'), neverAborted))._unsafeUnwrapErr(), status)
      expect((await client.call(server.address, request('b'), neverAborted))._unsafeUnwrap().status).toEqual(200)
      expect([requestSockets.length, new Set(requestSockets).size]).toEqual([2, 2])
    })

    it(`are not replaced by the one that follows on the connection: "${status}"`, async () => {
      responses = [response(status, 'a') + response('200', 'a'), response('200', 'b')]
      expectUnknown((await client.call(server.address, request('a'), neverAborted))._unsafeUnwrapErr(), status)
      const next = (await client.call(server.address, request('b'), neverAborted))._unsafeUnwrap()
      expect(Buffer.from(next.body).toString()).toEqual('b')
    })

    it(`are no stream and no document: "${status}"`, async () => {
      responses = [response(status, 'a', 'data: 1\n\ndata: [DONE]\n\n'), response(status, '', '{}').replace(/request-id.*\r\n/, '')]
      expectUnknown((await client.stream(server.address, request('a'), neverAborted))._unsafeUnwrapErr(), status)
      expect((await fetchJson(client, server.address, '/', TIMEOUT_MS, neverAborted)).isErr()).toEqual(true)
    })
  }

  it('are told from interim responses, whose final one is the response', async () => {
    responses = [`HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 150 Any\r\n\r\n${response('599', 'a')}`]
    expect((await client.call(server.address, request('a'), neverAborted))._unsafeUnwrap().status).toEqual(599)
  })
})
