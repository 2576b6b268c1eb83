import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { testServices } from '../../common/log/test/testServices.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import { defaultUpstreamProtocol } from '../upstream/defaultUpstreamProtocol.js'
import { HttpUpstreamClient } from '../upstream/HttpUpstreamClient.js'
import { LeaderGateway } from './LeaderGateway.js'
import { LeaderViewClient } from './LeaderViewClient.js'
import type { ListenerRequest } from './ListenerRequest.js'

const REQUEST_ID_HEADER = 'request-id'
const { logger } = testServices()

/** Response of the leader to one request: its body names the request. */
const formatResponse = (requestId: string): string => `HTTP/1.1 200 OK\r\n${REQUEST_ID_HEADER}: ${requestId}\r\ncontent-length: ${requestId.length}\r\n\r\n${requestId}`

/** The connection between two entries, on which the leader sends responses a second time or breaks them off. */
describe('hop to the leader', () => {
  let client: HttpUpstreamClient
  let server: Server
  let sockets: Set<Socket>
  let gateway: LeaderGateway
  /** Sends the response to one request; `previousId` is that of the request before on the same connection. */
  let respond: (socket: Socket, requestId: string, previousId: string | undefined) => void

  const serve = async (requestId: string): Promise<string> => {
    const request = { method: 'GET', target: '/x', path: '/x', query: new URLSearchParams(), host: 'h', headers: {}, body: Buffer.alloc(0), arrivedAtMs: 0, signal: new AbortController().signal }
    const response = await gateway.serve(request as ListenerRequest, { requestId, retryForMs: 1000, leaderHoldMs: 0 }, async () => ({ status: 500 }))
    return `${response.status} ${Buffer.from(response.body ?? '').toString()}`
  }
  const serveAll = async (count: number): Promise<string[]> => {
    const responses: string[] = []
    for (let number = 0; number < count; number++) responses.push(await serve(`r${number}`))
    return responses
  }

  beforeEach(async () => {
    sockets = new Set()
    client = new HttpUpstreamClient({ maxBodyBytes: 1_000_000, maxHeaderBytes: 16_384 }, { ...defaultUpstreamProtocol, requestIdHeader: REQUEST_ID_HEADER, forwardsHost: true })
    server = createServer(socket => {
      sockets.add(socket)
      let previousId: string | undefined
      socket.on('error', () => undefined)
      socket.on('data', data => {
        const head = data.toString()
        const requestId = /request-id: (\S+)/i.exec(head)?.[1] ?? ''
        if (head.startsWith('GET /leader')) {
          const view = JSON.stringify({ epoch: 1, address, isServing: true })
          socket.write(`HTTP/1.1 200 OK\r\n${REQUEST_ID_HEADER}: ${requestId}\r\ncontent-length: ${view.length}\r\n\r\n${view}`)
        } else {
          respond(socket, requestId, previousId)
          previousId = requestId
        }
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const leadership = { leaderAddress: () => address, observeLeader () {} } as unknown as ILeadership
    gateway = new LeaderGateway(leadership, '127.0.0.1:1', () => false, client, new LeaderViewClient(client, logger), logger)
  })
  afterEach(() => {
    client.dispose()
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  it('returns the own response when a second copy of the previous one precedes it', async () => {
    respond = (socket, requestId, previousId) => socket.write(`${previousId === undefined ? '' : formatResponse(previousId)}${formatResponse(requestId)}`)
    expect(await serveAll(4)).toEqual(['200 r0', '200 r1', '200 r2', '200 r3'])
  })

  it('returns the own response when each one is followed by a second copy', async () => {
    respond = (socket, requestId) => socket.write(formatResponse(requestId).repeat(2))
    expect(await serveAll(4)).toEqual(['200 r0', '200 r1', '200 r2', '200 r3'])
  })

  it('asks again when a response breaks off', async () => {
    const seen = new Set<string>()
    respond = (socket, requestId) => {
      const response = formatResponse(requestId)
      if (seen.has(requestId)) socket.write(response)
      else socket.end(response.slice(0, -1))
      seen.add(requestId)
    }
    expect(await serveAll(3)).toEqual(['200 r0', '200 r1', '200 r2'])
  })

  // Guards against an invalid HTTP status that reaches the caller, because this entry forwards what the leader sent.
  for (const status of ['000', '600', '999']) {
    it(`asks again when a response has the status ${status}`, async () => {
      const seen = new Set<string>()
      respond = (socket, requestId) => {
        socket.write(seen.has(requestId) ? formatResponse(requestId) : formatResponse(requestId).replace('200', status))
        seen.add(requestId)
      }
      expect(await serveAll(3)).toEqual(['200 r0', '200 r1', '200 r2'])
    })
  }
})
