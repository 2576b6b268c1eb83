import type { Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { UpstreamRequest } from '../../common/upstream/client/UpstreamRequest.js'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'
import { RawServer } from './test/RawServer.js'

const MAX_BODY_BYTES = 1_000_000
const CHUNK = 'x'.repeat(65_536)
/** Far longer than an endless response may take. */
const DEADLINE_MS = 8000
const neverAborted = new AbortController().signal

/** Servers send bytes that are no response, or no end of one, until the client closes the connection. */
describe('responses without end', () => {
  let client: HttpUpstreamClient
  let servers: RawServer[]

  beforeEach(() => {
    client = new HttpUpstreamClient({ maxBodyBytes: MAX_BODY_BYTES, maxHeaderBytes: 16_384 })
    servers = []
  })
  afterEach(() => {
    client.dispose()
    for (const server of servers) server.dispose()
  })

  async function startServer (onRequest: (socket: Socket) => void): Promise<RawServer> {
    const server = new RawServer(onRequest)
    servers.push(server)
    await server.listen()
    return server
  }

  /** Sends a head once, and then a part again and again until the connection is closed. */
  const startEndlessServer = async (head: string, part: string): Promise<RawServer> => await startServer(socket => {
    const send = (): void => {
      while (!socket.destroyed && socket.write(part));
      if (!socket.destroyed) socket.once('drain', send)
    }
    socket.write(head)
    send()
  })

  const request = (requestId: string): UpstreamRequest => ({ requestId, method: 'GET', path: '/x', headers: {}, deadlineAtMs: performance.now() + DEADLINE_MS })

  async function expectFailure (head: string, part: string, kind: UpstreamError['kind']): Promise<void> {
    const { address, sockets } = await startEndlessServer(head, part)
    const startedAtMs = performance.now()
    const error = (await client.call(address, request('a'), neverAborted))._unsafeUnwrapErr()
    expect([error.kind, error.sent]).toEqual([kind, true])
    expect(performance.now() - startedAtMs).toBeLessThan(DEADLINE_MS / 2)
    await new Promise<void>(resolve => sockets[0]?.destroyed === true ? resolve() : sockets[0]?.once('close', () => resolve()))
  }

  it('fail at the limit of one body without a length', async () => {
    await expectFailure('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', `10000\r\n${CHUNK}\r\n`, 'truncated')
  })

  it('fail at the limit of one body with a length beyond it', async () => {
    await expectFailure('HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n', CHUNK, 'truncated')
  })

  it('fail in a head of one endless header, of endless headers, and of bytes that are no head', async () => {
    await expectFailure('HTTP/1.1 200 OK\r\nx-long: ', CHUNK, 'reset')
    await expectFailure('HTTP/1.1 200 OK\r\n', `x-next: ${'y'.repeat(1000)}\r\n`, 'reset')
    await expectFailure('', CHUNK, 'reset')
  })

  it('fail after endless informational responses', async () => {
    await expectFailure('', 'HTTP/1.1 103 Early Hints\r\n\r\n', 'reset')
  })

  // Several servers turn bad together. Their bodies share one limit, and other responses are complete.
  it('share one limit on memory, which does not fail a small response beside them', async () => {
    const half = 'x'.repeat(Math.floor(MAX_BODY_BYTES * 0.9))
    const stuck = await startServer(socket => socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${MAX_BODY_BYTES}\r\n\r\n${half}`))
    const calls = Array.from({ length: 8 }, (_, index) => client.call(stuck.address, request(`stuck-${index}`), neverAborted))
    let finish = (): void => {}
    const slow = await startServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello')
      finish = () => { socket.write('world') }
    })
    const small = client.call(slow.address, request('small'), neverAborted)
    const failed = await Promise.any(calls.map(async call => (await call)._unsafeUnwrapErr()))
    expect(failed.kind).toEqual('truncated')
    await new Promise(resolve => setTimeout(resolve, 300))
    finish()
    expect(Buffer.from((await small)._unsafeUnwrap().body).toString()).toEqual('helloworld')
    client.dispose()
    const outcomes = await Promise.all(calls)
    // Three bodies of 0.9 of the limit fit into three times the limit.
    expect(outcomes.filter(outcome => outcome.isErr() && outcome.error.kind === 'truncated' && outcome.error.message.includes('largest')).length).toEqual(5)
  })
})
