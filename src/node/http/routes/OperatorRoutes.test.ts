import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { HttpTestFixture } from '../testing/HttpTestFixture.js'

const OPERATOR = { authorization: 'Bearer operator-token' }

describe('OperatorRoutes', () => {
  let fixture: HttpTestFixture
  before(async () => { fixture = await new HttpTestFixture().start() })
  after(() => fixture.server.dispose())

  it('rejects tokens of organisations on every path', async () => {
    for (const path of ['contracts', 'contracts/lin-shun', 'contracts/lin-shun/history', 'status', 'audit']) {
      expect([path, (await fixture.send('GET', `/admin/v1/${path}`)).status]).toEqual([path, 401])
    }
    expect((await fixture.send('POST', '/admin/v1/contracts/lin-shun', { base_revision: 3, text: 'x' })).status).toEqual(401)
  })

  it('lists contracts, shows one, and shows its history with changes', async () => {
    expect((await fixture.send('GET', '/admin/v1/contracts', undefined, OPERATOR)).json.contracts[0]).toEqual({ organisation: 'lin-shun', revision: 3, operator: 'mei', at_ms: 1 })
    expect((await fixture.send('GET', '/admin/v1/contracts/lin-shun', undefined, OPERATOR)).json.text).toInclude('organisation = lin-shun')
    expect((await fixture.send('GET', '/admin/v1/contracts/nobody', undefined, OPERATOR)).status).toEqual(404)
    expect((await fixture.send('GET', '/admin/v1/contracts/No%20one', undefined, OPERATOR)).json.error.field).toEqual('organisation')
    const first = fixture.contracts[0]
    if (first !== undefined) fixture.contracts.push({ ...first, revision: 4, atMs: 2 })
    const history = (await fixture.send('GET', '/admin/v1/contracts/lin-shun/history', undefined, OPERATOR)).json.revisions
    // Revision 3 has no known predecessor, so it must not be shown as a first contract with all fields changed.
    expect(history.map((item: any) => item.changes)).toEqual([[], [{ field: 'limits.share', before: 1, after: 1 }]])
    fixture.contracts.pop()
  })

  it('publishes under the name of the operator who owns the token', async () => {
    let args: any[] = []
    fixture.publish = (...received) => { args = received; return okAsync({ ...fixture.contracts[0], revision: 4 }) }
    const { json } = await fixture.send('POST', '/admin/v1/contracts/lin-shun', { base_revision: 3, text: 'new' }, { authorization: 'Bearer second-token' })
    expect(args).toEqual(['lin-shun', 3, 'lee', 'new'])
    expect(json.revision).toEqual(4)
  })

  it('reports conflicts, invalid contracts and publications with an unknown outcome', async () => {
    const publish = async (error: any): Promise<any> => {
      fixture.publish = () => errAsync(error)
      const { status, json } = await fixture.send('POST', '/admin/v1/contracts/lin-shun', { base_revision: 3, text: 'new' }, OPERATOR)
      return [status, json.error]
    }
    expect(await publish({ kind: 'contract_conflict', message: 'm', currentRevision: 5 })).toEqual([409, { kind: 'contract_conflict', message: 'm', outcome: 'not_run', current_revision: 5 }])
    expect(await publish({ kind: 'contract_invalid', message: 'm', line: 4, field: 'limits.share', rule: 'r' })).toEqual([400, { kind: 'contract_invalid', message: 'm', field: 'limits.share', outcome: 'not_run', line: 4, rule: 'r' }])
    expect((await publish({ kind: 'contract_unavailable', message: 'm', mayTakeEffect: true }))[1].outcome).toEqual('unknown')
  })

  it('shows status and audit trail', async () => {
    const { json } = await fixture.send('GET', '/admin/v1/status', undefined, OPERATOR)
    expect([json.entry, json.ready, json.streams.claims, json.queued]).toEqual(['entry-1', true, { next_offset: 5, caught_up: true, failing: false }, { 'order-app': 0 }])
    expect((await fixture.send('GET', '/admin/v1/audit', undefined, OPERATOR)).json.events.length).toEqual(2)
  })
})
