import { describe, it } from 'node:test'
import { expect } from 'earl'
import { FleetTable } from '../fleet/FleetTable.js'
import { Emitter } from '../kernel/Emitter.js'
import { testServices } from '../log/test/testServices.js'
import type { Route } from '../routing/Route.js'
import type { SuspectAdmission } from '../suspect/SuspectAdmission.js'
import type { Call } from './Call.js'
import { CallService } from './CallService.js'

const { logger, metrics } = testServices()
const RETRY_AFTER_MS = 4000

describe('CallService', () => {
  let sendings = 0
  let counted: string[] = []

  async function run (admission: SuspectAdmission, organisation?: string): Promise<unknown> {
    sendings = 0
    counted = []
    const fleet = new FleetTable(logger)
    for (const id of ['a', 'b', 'c']) fleet.apply({ id, startedAtMs: 0, service: 's', address: id, failureDomain: 'd', slots: 8, isDraining: false, versions: new Map() })
    const transport = {
      send: async () => {
        sendings += 1
        return { kind: 'broken', reason: 'reset', isAbandoned: false } as const
      }
    }
    const suspects = { admit: async () => admission, mayStartAttempt: () => true, recordRun: () => {} }
    const call = {
      requestId: 'r',
      fingerprint: 'f',
      organisation,
      route: { kind: 'idempotent', maxAttempts: 3, targetLatencyMs: 100 } as Route,
      service: 's',
      method: 'POST',
      path: '/',
      headers: {},
      body: new Uint8Array(),
      deadlineAtMs: performance.now() + 1000,
      signal: new AbortController().signal
    } satisfies Call
    return await new CallService(fleet, transport, suspects, logger, metrics, { onStopping: new Emitter<void>().event, recordStart: name => { counted.push(name) } }).run(call)
  }

  // Guards against a caller that is told 502 although its request was not sent.
  it('rejects a suspect truthfully as not run, with the time at which it may come back', async () => {
    expect(await run({ kind: 'refused', retryAfterMs: RETRY_AFTER_MS }))
      .toEqual({ kind: 'not_run', reason: 'the request crashed the upstreams that ran it', retryAfterMs: RETRY_AFTER_MS })
    expect(sendings).toEqual(0)
  })

  it('sends a trial to one upstream only', async () => {
    expect(((await run({ kind: 'trial' })) as { kind: string }).kind).toEqual('unknown')
    expect(sendings).toEqual(1)
    await run({ kind: 'admitted' })
    expect(sendings).toEqual(3)
  })

  // Guards against counts of public calls, of rejected ones, and of each attempt.
  it('counts a call of an organisation once if it was sent', async () => {
    await run({ kind: 'admitted' }, 'org')
    expect([sendings, counted]).toEqual([3, ['org']])
    await run({ kind: 'admitted' })
    expect([sendings, counted]).toEqual([3, []])
    await run({ kind: 'refused', retryAfterMs: RETRY_AFTER_MS }, 'org')
    expect(counted).toEqual([])
  })

  // Guards against a spread of calls over upstreams that an operator cannot see.
  it('counts the upstream that was tried first and whether it rejected the call', async () => {
    const counted: Array<Record<string, string> | undefined> = []
    const counting = { count: (name: string, labels?: Record<string, string>) => { if (name === 'call_first_attempts') counted.push(labels) }, gauge: () => {}, duration: () => {} }
    const fleet = new FleetTable(logger)
    for (const id of ['a', 'b']) fleet.apply({ id, startedAtMs: 0, service: 's', address: id, failureDomain: 'd', slots: 8, isDraining: false, versions: new Map() })
    fleet.find('b')!.averageMs = 1000
    const transport = {
      send: async (_call: Call, { member }: { member: { id: string } }) =>
        member.id === 'a' ? { kind: 'not_run', reason: 'full' } as const : { kind: 'answer', answer: { status: 200, headers: {}, body: new Uint8Array() } } as const
    }
    const suspects = { admit: async () => ({ kind: 'admitted' }) as const, mayStartAttempt: () => true, recordRun: () => {} }
    const call = { requestId: 'r', route: { kind: 'idempotent', maxAttempts: 2, targetLatencyMs: 100 } as Route, service: 's', method: 'POST', path: '/', headers: {}, body: new Uint8Array(), deadlineAtMs: performance.now() + 1000, signal: new AbortController().signal }
    await new CallService(fleet, transport, suspects, logger, counting).run(call)
    fleet.find('b')!.averageMs = 1
    await new CallService(fleet, transport, suspects, logger, counting).run(call)
    expect(counted).toEqual([{ service: 's', upstream: 'a', refused: 'true' }, { service: 's', upstream: 'b', refused: 'false' }])
  })
})
