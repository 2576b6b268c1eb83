import { createServer, type RequestListener, type Server } from 'node:http'
import { createServer as createTcpServer, type AddressInfo, type Server as TcpServer, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { EntrySettings } from '../../common/settings/EntrySettings.js'
import type { UpstreamRequest } from '../../common/upstream/client/UpstreamRequest.js'
import { HttpUpstreamClient } from './HttpUpstreamClient.js'

const settings = { maxBodyBytes: 1000, maxHeaderBytes: 16_384 } as EntrySettings
const neverAborted = new AbortController().signal
const HEAD = 'HTTP/1.1 200 OK\r\n'

describe('HttpUpstreamClient', () => {
  let client: HttpUpstreamClient
  let servers: Array<Server | TcpServer>
  let connections: number

  beforeEach(() => {
    client = new HttpUpstreamClient(settings)
    servers = []
    connections = 0
  })

  afterEach(() => {
    client.dispose()
    servers.forEach((server) => server.close())
  })

  async function startServer (server: Server | TcpServer): Promise<string> {
    servers.push(server)
    server.on('connection', () => { connections++ })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  const startHttpServer = (listener: RequestListener): Promise<string> => startServer(createServer(listener))

  /** Starts a TCP server for raw responses; the callback receives each chunk that a client sends. */
  const startTcpServer = (onRequest: (socket: Socket, text: string) => void): Promise<string> => startServer(createTcpServer((socket) => {
    socket.on('error', () => undefined)
    socket.on('data', (data) => onRequest(socket, data.toString()))
  }))

  function request (requestId: string, overrides: Partial<UpstreamRequest> = {}): UpstreamRequest {
    return { requestId, method: 'GET', path: '/x', headers: {}, deadlineAtMs: performance.now() + 1000, ...overrides }
  }

  const callError = async (address: string, overrides: Partial<UpstreamRequest> = {}): Promise<unknown> => {
    const error = (await client.call(address, request('a', overrides), neverAborted))._unsafeUnwrapErr()
    return { kind: error.kind, sent: error.sent }
  }

  it('forwards a response and drops hop-by-hop headers in both directions', async () => {
    let received: Record<string, unknown> = {}
    const address = await startHttpServer((req, res) => {
      received = req.headers
      res.setHeader('connection', 'keep-alive, x-hop')
      res.setHeader('x-hop', '1')
      res.setHeader('x-kept', '1')
      res.end('hello')
    })
    const headers = { Connection: 'x-private', 'x-private': '1', TE: 'trailers', host: 'other', 'x-own': '2' }
    const response = (await client.call(address, request('a', { headers }), neverAborted))._unsafeUnwrap()
    expect(Buffer.from(response.body).toString()).toEqual('hello')
    expect(response.headers['x-kept']).toEqual('1')
    expect(Object.keys(response.headers).filter((name) => name === 'x-hop' || name === 'connection')).toEqual([])
    expect([received['x-private'], received.te, received['x-own'], received['x-request-id'], received.host]).toEqual([undefined, undefined, '2', 'a', address])
  })

  it('never delivers a late response to the next request', async () => {
    const socketsById = new Map<string, Socket>()
    const address = await startTcpServer((socket, text) => {
      const id = /x-request-id: (\w+)/.exec(text)?.[1] ?? ''
      socketsById.set(id, socket)
      const respond = (): unknown => socket.write(`${HEAD}Content-Length: 1\r\n\r\n${id}`)
      setTimeout(respond, id === 'a' ? 80 : 0)
    })
    expect(await callError(address, { deadlineAtMs: performance.now() + 40 })).toEqual({ kind: 'timeout', sent: true })
    const response = (await client.call(address, request('b'), neverAborted))._unsafeUnwrap()
    expect(Buffer.from(response.body).toString()).toEqual('b')
    expect(socketsById.get('a') === socketsById.get('b')).toEqual(false)
  })

  it('sends one request at a time on a connection and reuses the connection', async () => {
    const address = await startHttpServer((_req, res) => { setTimeout(() => res.end('x'), 20) })
    await Promise.all([client.call(address, request('a'), neverAborted), client.call(address, request('b'), neverAborted)])
    expect(connections).toEqual(2)
    // undici makes a connection available again one turn of the event loop after the response.
    await new Promise((resolve) => setTimeout(resolve, 5))
    await client.call(address, request('c'), neverAborted)
    expect(connections).toEqual(2)
  })

  it('reports a truncated body, in Content-Length and in chunked framing', async () => {
    const byLength = await startTcpServer((socket) => socket.end(`${HEAD}Content-Length: 10\r\n\r\nabc`))
    expect(await callError(byLength)).toEqual({ kind: 'truncated', sent: true })
    const byChunks = await startTcpServer((socket) => socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`))
    expect(await callError(byChunks)).toEqual({ kind: 'truncated', sent: true })
  })

  it('rejects a body that is delimited only by the end of the connection', async () => {
    const address = await startTcpServer((socket) => socket.end(`${HEAD}Connection: close\r\n\r\nabc`))
    expect(await callError(address)).toEqual({ kind: 'truncated', sent: true })
  })

  it('reports a reset after sending as sent, and sends once', async () => {
    let requests = 0
    const address = await startTcpServer((socket) => { requests++; socket.resetAndDestroy() })
    expect(await callError(address)).toEqual({ kind: 'reset', sent: true })
    expect(requests).toEqual(1)
  })

  it('reports a refused connection as not sent', async () => {
    const address = await startTcpServer(() => undefined)
    await new Promise((resolve) => servers[0]!.close(resolve))
    expect(await callError(address)).toEqual({ kind: 'connect_failed', sent: false })
  })

  it('rejects a response with the id of another request', async () => {
    const address = await startTcpServer((socket) => socket.write(`${HEAD}X-Request-Id: b\r\nContent-Length: 1\r\n\r\nb`))
    expect(await callError(address)).toEqual({ kind: 'mismatched', sent: true })
  })

  it('does not retry a request on a reused connection that the upstream closes without a response', async () => {
    let requests = 0
    const address = await startTcpServer((socket) => {
      requests++
      if (requests === 1) {
        socket.write(`${HEAD}Content-Length: 1\r\n\r\na`)
      } else {
        socket.destroy()
      }
    })
    await client.call(address, request('a'), neverAborted)
    await new Promise((resolve) => setTimeout(resolve, 20))
    expect(await callError(address)).toEqual({ kind: 'reset', sent: true })
    expect(requests).toEqual(2)
  })

  it('opens a new connection when the reused one was closed while idle', async () => {
    const address = await startTcpServer((socket) => socket.end(`${HEAD}Content-Length: 1\r\n\r\na`))
    await client.call(address, request('a'), neverAborted)
    await new Promise((resolve) => setTimeout(resolve, 20))
    expect((await client.call(address, request('b'), neverAborted)).isOk()).toEqual(true)
  })

  it('fails before sending when the deadline has passed or the caller has cancelled', async () => {
    let requests = 0
    const address = await startTcpServer(() => { requests++ })
    expect(await callError(address, { deadlineAtMs: performance.now() - 1 })).toEqual({ kind: 'deadline_before_send', sent: false })
    const aborted = (await client.call(address, request('a'), AbortSignal.abort()))._unsafeUnwrapErr()
    expect([aborted.kind, aborted.sent, requests]).toEqual(['cancelled', false, 0])
  })

  it('closes the connection of a cancelled request', async () => {
    const controller = new AbortController()
    let onClose: () => void
    const closed = new Promise<void>((resolve) => { onClose = resolve })
    const address = await startTcpServer((socket) => {
      socket.on('close', () => onClose())
      controller.abort()
    })
    const error = (await client.call(address, request('a'), controller.signal))._unsafeUnwrapErr()
    expect([error.kind, error.sent]).toEqual(['cancelled', true])
    await closed
  })

  it('limits the size of the body', async () => {
    const address = await startHttpServer((_req, res) => { res.end('x'.repeat(1001)) })
    expect(await callError(address)).toEqual({ kind: 'truncated', sent: true })
  })

  async function readEvents (address: string, deadlineMs = 1_000): Promise<string[]> {
    const stream = (await client.stream(address, request('a', { deadlineAtMs: performance.now() + deadlineMs }), neverAborted))._unsafeUnwrap()
    const received: string[] = []
    for await (const event of stream.events) {
      received.push(event.match((data) => data, (error) => `error ${error.kind}`))
    }
    return received
  }

  it('yields events in order when chunks split lines, characters and line ends', async () => {
    const body = Buffer.from('data: ű1\r\n\r\n: note\r\ndata: a\r\ndata: b\r\n\r\ndata: [DONE]\r\n\r\n')
    const address = await startHttpServer(async (_req, res) => {
      for (const byte of body) {
        res.write(Buffer.from([byte]))
        await new Promise((resolve) => setImmediate(resolve))
      }
      res.end()
    })
    expect(await readEvents(address)).toEqual(['ű1', 'a\nb', '[DONE]'])
  })

  it('reports a stream without its end marker as truncated', async () => {
    const ended = await startHttpServer((_req, res) => { res.end('data: 1\n\n') })
    expect(await readEvents(ended)).toEqual(['1', 'error truncated'])
    const cut = await startHttpServer((_req, res) => { res.write('data: 1\n\n', () => res.destroy()) })
    expect(await readEvents(cut)).toEqual(['1', 'error truncated'])
  })

  it('limits the size of an event and delivers a long stream to a slow reader in order', async () => {
    const oversized = await startHttpServer((_req, res) => { res.end(`data: ${'x'.repeat(1_100_000)}`) })
    expect(await readEvents(oversized)).toEqual(['error truncated'])
    const data = Array.from({ length: 50_000 }, (_, index) => String(index)).concat('[DONE]')
    const long = await startHttpServer((_req, res) => { res.end(data.map((item) => `data: ${item}\n\n`).join('')) })
    // 50,000 events take longer than the default of 1 s when the process has a sixth of a core.
    expect(await readEvents(long, 30_000)).toEqual(data)
  })
})
