import { describe, it } from 'node:test'
import { errAsync, okAsync } from 'neverthrow'
import { expect } from 'earl'
import { testServices } from '../../common/log/test/testServices.js'
import type { ILeadership } from '../../common/store/ILeadership.js'
import type { IUpstreamClient } from '../../common/upstream/client/IUpstreamClient.js'
import type { ListenerRequest } from './ListenerRequest.js'
import { LeaderGateway } from './LeaderGateway.js'
import { LeaderViewClient } from './LeaderViewClient.js'

const { logger } = testServices()
const body = Buffer.alloc(1000)
const request: ListenerRequest = {
  method: 'POST', target: '/x', path: '/x', query: new URLSearchParams(), host: 'h', headers: {}, body, arrivedAtMs: 0, signal: new AbortController().signal
}
const options = { requestId: 'r', retryForMs: 500, leaderHoldMs: 0 }

function createGateway (responses: { view: () => boolean, forward: (address: string) => 'ok' | 'not_leader' | 'lost', reported?: string }) {
  const sent = { bodies: 0, views: 0 }
  const client = {
    call: (to: string, upstreamRequest: { path: string }) => {
      if (upstreamRequest.path === '/leader') {
        sent.views += 1
        return okAsync({ status: 200, headers: {}, body: Buffer.from(JSON.stringify({ epoch: 1, address: responses.reported, isServing: responses.view() })) })
      }
      sent.bodies += 1
      const outcome = responses.forward(to)
      if (outcome === 'lost') return errAsync({ kind: 'reset', message: 'reset', sent: true } as const)
      return okAsync(outcome === 'ok' ? { status: 202, headers: {}, body: new Uint8Array() } : { status: 503, headers: { 'hyssopvalve-not-leader': '1' }, body: new Uint8Array() })
    }
  } as unknown as IUpstreamClient
  let address = '10.0.0.2:1'
  const leadership = {
    leaderAddress: () => address,
    observeLeader: (_epoch: number, reported: string) => {
      address = reported
    }
  } as unknown as ILeadership
  const gateway = new LeaderGateway(leadership, '10.0.0.1:1', () => false, client, new LeaderViewClient(client, logger), logger)
  const serve = async (): Promise<number> => (await gateway.serve(request, options, async () => ({ status: 200 }))).status
  return { sent, serve }
}

describe('LeaderGateway', () => {
  // Guards against resending batches of 150 KB from all entries while a new leader restores its state.
  it('does not resend a body to a leader that is not ready, and resends it once the leader is ready', async () => {
    let viewCount = 0
    const { sent, serve } = createGateway({ view: () => ++viewCount > 3, forward: () => sent.bodies > 1 ? 'ok' : 'not_leader' })
    expect(await serve()).toEqual(202)
    expect(sent).toEqual({ bodies: 2, views: 4 })
  })

  it('follows the view of the previous leader to the new leader', async () => {
    const { serve } = createGateway({ view: () => true, forward: address => address === '10.0.0.3:1' ? 'ok' : 'not_leader', reported: '10.0.0.3:1' })
    expect(await serve()).toEqual(202)
  })

  it('responds with 503 only if no leader can have received the request, otherwise with 504', async () => {
    expect(await createGateway({ view: () => false, forward: () => 'not_leader' }).serve()).toEqual(503)
    expect(await createGateway({ view: () => false, forward: () => 'lost' }).serve()).toEqual(504)
  })
})
