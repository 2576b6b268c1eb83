import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { HttpTestBed } from '../testing/HttpTestBed.js'

const GROUPS = [{ group: 'g1', prompt: 'p', samples: 2, max_tokens: 10 }]

describe('TrainerRoutes', () => {
  let bed: HttpTestBed
  let calls: any[]
  before(async () => {
    bed = await new HttpTestBed().start()
    const note = (name: string, result: any) => (...args: any[]) => { calls.push([name, ...args]); return okAsync(result) }
    bed.desk = { submit: note('submit', undefined), read: note('read', { groups: [], cursor: 7 }), acknowledge: note('ack', undefined), announceWeights: note('weights', undefined) }
  })
  after(() => bed.server.dispose())

  it('passes steps, reads, acknowledgements and versions with the organisation of the token', async () => {
    calls = []
    await bed.send('POST', '/v1/trainers/brim/steps', { step: 4, groups: GROUPS })
    expect((await bed.send('GET', '/v1/trainers/brim/groups?cursor=3&version=2&max=5&wait_ms=10')).json).toEqual({ groups: [], cursor: 7 })
    await bed.send('POST', '/v1/trainers/brim/ack', { cursor: 7 })
    await bed.send('POST', '/v1/trainers/brim/weights', { version: 9 }, { authorization: 'Bearer almaskert-token' })
    const { signal, ...read } = calls[1][1]
    expect(read).toEqual({ organisation: 'lin-shun', trainer: 'brim', cursor: 3, version: 2, max: 5, waitMs: 10 })
    calls[1][1] = 'read'
    expect(calls).toEqual([['submit', 'lin-shun', 'brim', 4, GROUPS], ['read', 'read'], ['ack', 'lin-shun', 'brim', 7], ['weights', 'almaskert', 'brim', 9]])
  })

  it('does not let an organisation name another one', async () => {
    calls = []
    for (const path of ['/v1/trainers/almaskert%2Fbrim/groups', '/v1/trainers/other/groups', '/v1/trainers/__proto__/groups']) {
      expect((await bed.send('GET', path)).status).toBeGreaterThanOrEqual(400)
    }
    expect((await bed.send('GET', '/v1/trainers/brim/groups?organisation=almaskert')).json.error.field).toEqual('organisation')
    expect(calls).toEqual([])
  })

  it('does not hold reads back while draining', async () => {
    calls = []
    bed.isDraining = true
    await bed.send('GET', '/v1/trainers/brim/groups?wait_ms=5000')
    expect(calls[0][1].waitMs).toEqual(0)
    bed.isDraining = false
  })

  it('tells which field is wrong and whether a submission may still land', async () => {
    expect((await bed.send('GET', '/v1/trainers/brim/groups?max=0')).json.error.field).toEqual('max')
    expect((await bed.send('POST', '/v1/trainers/brim/steps', { step: 1, groups: [{ ...GROUPS[0], samples: 0 }] })).json.error.field).toEqual('groups.0.samples')
    bed.desk = { ...bed.desk, submit: () => errAsync({ kind: 'training_unavailable', message: 'log', mayLand: true }) }
    const { status, json } = await bed.send('POST', '/v1/trainers/brim/steps', { step: 1, groups: GROUPS })
    expect([status, json.error.outcome]).toEqual([503, 'unknown'])
  })
})
