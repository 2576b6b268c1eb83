import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { HttpTestFixture } from '../testing/HttpTestFixture.js'

const GROUPS = [{ group: 'g1', prompt: 'p', samples: 2, max_tokens: 10 }]

describe('TrainerRoutes', () => {
  let fixture: HttpTestFixture
  let calls: any[]
  before(async () => {
    fixture = await new HttpTestFixture().start()
    const recordCall = (name: string, result: any) => (...args: any[]) => { calls.push([name, ...args]); return okAsync(result) }
    fixture.training = { submit: recordCall('submit', undefined), read: recordCall('read', { groups: [], cursor: 7 }), acknowledge: recordCall('ack', undefined), announceWeights: recordCall('weights', undefined) }
  })
  after(() => fixture.server.dispose())

  it('forwards steps, reads, acknowledgements and versions with the organisation of the token', async () => {
    calls = []
    await fixture.send('POST', '/v1/trainers/brim/steps', { step: 4, groups: GROUPS })
    expect((await fixture.send('GET', '/v1/trainers/brim/groups?cursor=3&version=2&max=5&wait_ms=10')).json).toEqual({ groups: [], cursor: 7 })
    await fixture.send('POST', '/v1/trainers/brim/ack', { cursor: 7 })
    await fixture.send('POST', '/v1/trainers/brim/weights', { version: 9 }, { authorization: 'Bearer almaskert-token' })
    const { signal, ...read } = calls[1][1]
    expect(read).toEqual({ organisation: 'lin-shun', trainer: 'brim', cursor: 3, version: 2, max: 5, waitMs: 10 })
    calls[1][1] = 'read'
    expect(calls).toEqual([['submit', 'lin-shun', 'brim', 4, GROUPS], ['read', 'read'], ['ack', 'lin-shun', 'brim', 7], ['weights', 'almaskert', 'brim', 9]])
  })

  it('does not let an organisation address another one', async () => {
    calls = []
    for (const path of ['/v1/trainers/almaskert%2Fbrim/groups', '/v1/trainers/other/groups', '/v1/trainers/__proto__/groups']) {
      expect((await fixture.send('GET', path)).status).toBeGreaterThanOrEqual(400)
    }
    expect((await fixture.send('GET', '/v1/trainers/brim/groups?organisation=almaskert')).json.error.field).toEqual('organisation')
    expect(calls).toEqual([])
  })

  it('does not let reads wait while draining', async () => {
    calls = []
    fixture.isDraining = true
    await fixture.send('GET', '/v1/trainers/brim/groups?wait_ms=5000')
    expect(calls[0][1].waitMs).toEqual(0)
    fixture.isDraining = false
  })

  it('reports the invalid field and whether a submission may still take effect', async () => {
    expect((await fixture.send('GET', '/v1/trainers/brim/groups?max=0')).json.error.field).toEqual('max')
    expect((await fixture.send('POST', '/v1/trainers/brim/steps', { step: 1, groups: [{ ...GROUPS[0], samples: 0 }] })).json.error.field).toEqual('groups.0.samples')
    fixture.training = { ...fixture.training, submit: () => errAsync({ kind: 'training_unavailable', message: 'log', mayTakeEffect: true }) }
    const { status, json } = await fixture.send('POST', '/v1/trainers/brim/steps', { step: 1, groups: GROUPS })
    expect([status, json.error.outcome]).toEqual([503, 'unknown'])
  })
})
