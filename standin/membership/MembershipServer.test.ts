import { describe, it } from 'node:test'
import { expect } from 'earl'
import { LaggedValue } from '../common/LaggedValue.js'
import { MembershipServer } from './MembershipServer.js'

const MEMBER = {
  id: 'kapu-1',
  role: 'upstream',
  service: 'kapu',
  address: '127.0.0.1:7001',
  failure_domain: 'kecs-a',
  state: 'live',
  incarnation: 'kapu-1-run-1'
}

describe('membership', () => {
  it('returns the previous list until the lag has passed', async () => {
    const hourMs = 3_600_000
    const membership = new MembershipServer(hourMs)
    const put = await membership.app.request('/members/kapu-1', { method: 'PUT', body: JSON.stringify(MEMBER) })
    expect(put.status).toEqual(200)
    const list = async () => await (await membership.app.request('/v1/members')).json()
    expect(await list()).toEqual({ version: 0, members: [] })
    await membership.app.request('/faults', { method: 'POST', body: '{"lag_ms":0}' })
    expect(await list()).toEqual({ version: 1, members: [MEMBER] })
  })

  it('keeps the value that was current at the maximum age and drops older ones', () => {
    const history = new LaggedValue<string>(100)
    history.set('a', 0)
    history.set('b', 50)
    history.set('c', 120)
    history.set('d', 140)
    expect(history.get(100, 140)?.value).toEqual('a')
    expect(history.get(100, 150)?.value).toEqual('b')
    expect(history.get(0, 150)?.value).toEqual('d')
  })
})
