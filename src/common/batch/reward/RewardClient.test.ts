import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import type { Call } from '../../call/Call.js'
import type { CallAttemptOutcome } from '../../call/CallAttemptOutcome.js'
import { CallService } from '../../call/CallService.js'
import { FleetTable } from '../../fleet/FleetTable.js'
import { testServices } from '../../log/test/testServices.js'
import { VirtualTime } from '../../log/test/VirtualTime.test.js'
import type { Route } from '../../routing/Route.js'
import { RouteTable } from '../../routing/RouteTable.js'
import type { ICallSuspects } from '../../suspect/ICallSuspects.js'
import { RewardClient } from './RewardClient.js'
import type { RewardOutcome } from './RewardOutcome.js'

const { logger, metrics } = testServices()
const SCORE_HEADER = 'score'
const TIMEOUT_MS = 1000
const call = { id: 'reward-1', host: 'host.example', path: '/rewards/x?y=1', bodyBase64: Buffer.from('question').toString('base64') }

/** Reward calls are exempt from suspicion: they are owed, and their content is sound. */
const refuseAll: ICallSuspects = {
  admit: async () => ({ kind: 'refused', retryAfterMs: 1 }),
  mayStartAttempt: () => false,
  recordRun: () => {}
}

const respond = (status: number, headers: Record<string, string> = {}): CallAttemptOutcome => ({ kind: 'answer', answer: { status, headers, body: new Uint8Array() } })

describe('RewardClient', () => {
  let time: VirtualTime
  let sent: Call[]
  /** Outcomes of the next attempts; further attempts never end. */
  let outcomes: CallAttemptOutcome[]
  let client: RewardClient
  let controller: AbortController
  const fleet = new FleetTable(logger)

  beforeEach(() => {
    time = new VirtualTime()
    sent = []
    outcomes = []
    controller = new AbortController()
    const routes = new RouteTable(logger)
    const route: Route = {
      name: 'r',
      host: 'host.example',
      pathPrefix: '/rewards/',
      kind: 'once',
      services: [{ name: 'rewards', weight: 1 }],
      maxAttempts: 3,
      timeoutMs: TIMEOUT_MS,
      targetLatencyMs: 10_000,
      priority: 0,
      isResumable: false,
      batchDeadlineMs: 0,
      batchRetentionMs: 0,
      isSingleVersion: false
    }
    routes.apply({ version: 1, routes: [route], services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    for (const id of ['s1', 's2', 's3', 's4', 's5', 's6']) {
      fleet.apply({ id, startedAtMs: 1, service: 'rewards', address: id, failureDomain: 'd', slots: 4, isDraining: false, versions: new Map() })
    }
    const transport = {
      send: async (request: Call): Promise<CallAttemptOutcome> => {
        sent.push(request)
        return outcomes.shift() ?? await new Promise<CallAttemptOutcome>(() => {})
      }
    }
    client = new RewardClient(routes, new CallService(fleet, transport, refuseAll, logger, metrics), SCORE_HEADER)
  })
  afterEach(() => time.restore())

  async function send (durationMs = 50): Promise<RewardOutcome | undefined> {
    const target = client.resolve(call)
    if (target === undefined) return undefined
    const sending = client.send(call, target, performance.now() + 20_000, controller.signal)
    await time.advance(durationMs)
    return await sending
  }

  it('posts the body to the route of the host and path, and returns the score of the response', async () => {
    outcomes = [respond(200, { [SCORE_HEADER]: 'good' })]
    expect(await send()).toEqual({ kind: 'scored', score: 'good' })
    const [request] = sent
    expect([request?.requestId, request?.method, request?.path, request?.headers['host'], Buffer.from(request?.body ?? []).toString()])
      .toEqual(['reward-1', 'POST', '/rewards/x?y=1', 'host.example', 'question'])
  })

  it('counts failed responses, and repeats the call on a route whose requests run at most once', async () => {
    outcomes = [respond(500), respond(500), respond(500)]
    expect(await send()).toEqual({ kind: 'failed', failures: 3 })
    outcomes = [respond(500), { kind: 'broken', reason: 'reset', isAbandoned: false }, respond(200, { [SCORE_HEADER]: 'good' })]
    expect(await send()).toEqual({ kind: 'scored', score: 'good' })
  })

  it('accepts no score from a failure, and none without a score', async () => {
    outcomes = [respond(404, { [SCORE_HEADER]: 'bad' })]
    expect(await send()).toEqual({ kind: 'no_response', reason: 'status 404' })
    outcomes = [respond(200)]
    expect(await send()).toEqual({ kind: 'no_response', reason: 'status 200' })
    outcomes = [respond(503, { [SCORE_HEADER]: 'bad' }), respond(503), respond(503)]
    expect(await send()).toEqual({ kind: 'no_response', reason: 'status 503' })
  })

  it('tells a timeout of the route, a cancel, a refusal and a missing route apart', async () => {
    expect(await send(TIMEOUT_MS + 10)).toEqual({ kind: 'no_response', reason: 'timeout of the route' })
    setTimeout(() => controller.abort(), 20)
    expect(await send()).toEqual({ kind: 'cancelled' })
    controller = new AbortController()
    outcomes = Array.from({ length: 5 }, () => ({ kind: 'not_run', reason: 'full' }))
    expect((await send())?.kind).toEqual('not_run')
    expect(client.resolve({ ...call, path: '/other/x' })).toEqual(undefined)
  })
})
