import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { FleetUpstream } from '../fleet/FleetUpstream.js'
import { testServices } from '../log/test/testServices.js'
import { VirtualTime } from '../log/test/VirtualTime.test.js'
import type { Route } from '../routing/Route.js'
import type { Call } from './Call.js'
import type { CallAttemptOutcome } from './CallAttemptOutcome.js'
import type { CallOutcome } from './CallOutcome.js'
import { CallRun } from './CallRun.js'

type Behaviour = { afterMs: number, end: CallAttemptOutcome }

const answer = (status = 200): CallAttemptOutcome => ({ kind: 'answer', answer: { status, headers: {}, body: new Uint8Array() } })
const full: CallAttemptOutcome = { kind: 'not_run', reason: 'full' }
const broken: CallAttemptOutcome = { kind: 'broken', reason: 'reset' }

describe('CallRun', () => {
  let time: VirtualTime
  let sent: string[]
  let cancelled: string[]
  let caller: AbortController

  beforeEach(() => {
    time = new VirtualTime()
    sent = []
    cancelled = []
    caller = new AbortController()
  })
  afterEach(() => time.restore())

  /** Upstreams are tried in the order of their names, because each is a little slower than the one before. */
  function start (behaviours: Record<string, Behaviour>, route: Partial<Route> = {}): Promise<CallOutcome> {
    const upstreams = Object.keys(behaviours).map((id, index) => {
      const upstream = new FleetUpstream({ id, startedAtMs: 0, service: 's', address: '', failureDomain: 'd', slots: 8, isDraining: false, versions: new Map() })
      upstream.averageMs = 10 * 2 ** index
      return upstream
    })
    const call = {
      requestId: 'r',
      service: 's',
      method: 'POST',
      path: '/',
      headers: {},
      body: new Uint8Array(),
      deadlineAtMs: performance.now() + 1000,
      signal: caller.signal,
      route: { kind: 'idempotent', maxAttempts: 2, targetLatencyMs: 100, ...route } as Route
    } satisfies Call
    const transport = {
      send: async (_call: Call, upstream: FleetUpstream, signal: AbortSignal): Promise<CallAttemptOutcome> => {
        const { afterMs, end } = behaviours[upstream.member.id] ?? { afterMs: 0, end: broken }
        sent.push(upstream.member.id)
        signal.addEventListener('abort', () => cancelled.push(upstream.member.id))
        return await new Promise(resolve => setTimeout(() => resolve(end), afterMs))
      }
    }
    return new CallRun(call, () => upstreams, transport, testServices().logger).run()
  }

  it('goes on to other upstreams when one is full, which takes none of its attempts', async () => {
    const outcome = start({ a: { afterMs: 1, end: full }, b: { afterMs: 1, end: full }, c: { afterMs: 1, end: answer() } })
    await time.advance(20)
    expect((await outcome).kind).toEqual('answer')
    expect(sent).toEqual(['a', 'b', 'c'])
  })

  // Load: one upstream of several has gone silent, and calls to it would wait until their deadline.
  it('asks a second upstream when the first is silent, and cancels the slower one', async () => {
    const outcome = start({ a: { afterMs: 5000, end: answer() }, b: { afterMs: 10, end: answer() } })
    await time.advance(100)
    const result = await outcome
    expect(result.kind === 'answer' ? result.upstream : undefined).toEqual('b')
    expect(cancelled).toEqual(['a'])
  })

  it('never runs at more upstreams than the route allows', async () => {
    const outcome = start({ a: { afterMs: 1, end: broken }, b: { afterMs: 1, end: broken }, c: { afterMs: 1, end: answer() } })
    await time.advance(50)
    expect((await outcome).kind).toEqual('unknown')
    expect(sent).toEqual(['a', 'b'])
  })

  it('does not send again what must run once at most, unless it has not run', async () => {
    const lost = start({ a: { afterMs: 1, end: broken }, b: { afterMs: 1, end: answer() } }, { kind: 'once' })
    await time.advance(50)
    expect((await lost).kind).toEqual('unknown')
    const refused = start({ a: { afterMs: 1, end: full }, b: { afterMs: 1, end: answer() } }, { kind: 'once' })
    await time.advance(50)
    expect((await refused).kind).toEqual('answer')
    expect(sent).toEqual(['a', 'a', 'b'])
  })

  it('does not hedge what must run once at most', async () => {
    const outcome = start({ a: { afterMs: 500, end: answer() }, b: { afterMs: 1, end: answer() } }, { kind: 'once' })
    await time.advance(600)
    expect((await outcome).kind).toEqual('answer')
    expect(sent).toEqual(['a'])
  })

  it('says "not run" at once when there is no upstream, and only when none may have run it', async () => {
    expect((await start({})).kind).toEqual('not_run')
    const outcome = start({ a: { afterMs: 1, end: full }, b: { afterMs: 1, end: broken } })
    await time.advance(50)
    expect((await outcome).kind).toEqual('unknown')
  })

  it('returns the failure of an upstream when no other has an answer', async () => {
    const outcome = start({ a: { afterMs: 1, end: answer(500) }, b: { afterMs: 1, end: broken } })
    await time.advance(50)
    const result = await outcome
    expect(result.kind === 'answer' ? result.answer.status : undefined).toEqual(500)
  })

  it('ends at its deadline, and at once when the caller leaves, closing what runs', async () => {
    const late = start({ a: { afterMs: 9000, end: answer() } })
    await time.advance(1100)
    expect((await late).kind).toEqual('timeout')
    const left = start({ a: { afterMs: 9000, end: answer() } })
    await time.advance(10)
    caller.abort()
    await time.advance(5)
    expect((await left).kind).toEqual('cancelled')
    expect(cancelled).toEqual(['a', 'a'])
  })
})
