import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import { HttpTestBed } from '../testing/HttpTestBed.js'

const OPERATOR = { authorization: 'Bearer operator-token' }

describe('OperatorRoutes', () => {
  let bed: HttpTestBed
  before(async () => { bed = await new HttpTestBed().start() })
  after(() => bed.server.dispose())

  it('refuses callers and organisations on every path', async () => {
    for (const path of ['contracts', 'contracts/lin-shun', 'contracts/lin-shun/history', 'status', 'audit']) {
      expect([path, (await bed.send('GET', `/admin/v1/${path}`)).status]).toEqual([path, 401])
    }
    expect((await bed.send('POST', '/admin/v1/contracts/lin-shun', { base_revision: 3, text: 'x' })).status).toEqual(401)
  })

  it('lists, shows and gives the history with changes', async () => {
    expect((await bed.send('GET', '/admin/v1/contracts', undefined, OPERATOR)).json.contracts[0]).toEqual({ organisation: 'lin-shun', revision: 3, operator: 'mei', at_ms: 1 })
    expect((await bed.send('GET', '/admin/v1/contracts/lin-shun', undefined, OPERATOR)).json.text).toInclude('organisation = lin-shun')
    expect((await bed.send('GET', '/admin/v1/contracts/nobody', undefined, OPERATOR)).status).toEqual(404)
    expect((await bed.send('GET', '/admin/v1/contracts/No%20one', undefined, OPERATOR)).json.error.field).toEqual('organisation')
    const first = bed.contracts[0]
    if (first !== undefined) bed.contracts.push({ ...first, revision: 4, atMs: 2 })
    const history = (await bed.send('GET', '/admin/v1/contracts/lin-shun/history', undefined, OPERATOR)).json.revisions
    // Revision 3 has no known predecessor, so it must not look like a first contract.
    expect(history.map((item: any) => item.changes)).toEqual([[], [{ field: 'limits.share', before: 1, after: 1 }]])
    bed.contracts.pop()
  })

  it('publishes under the name that belongs to the token', async () => {
    let args: any[] = []
    bed.publish = (...given) => { args = given; return okAsync({ ...bed.contracts[0], revision: 4 }) }
    const { json } = await bed.send('POST', '/admin/v1/contracts/lin-shun', { base_revision: 3, text: 'new' }, { authorization: 'Bearer second-token' })
    expect(args).toEqual(['lin-shun', 3, 'lee', 'new'])
    expect(json.revision).toEqual(4)
  })

  it('tells conflicts, faults and uncertain publications', async () => {
    const publish = async (error: any): Promise<any> => {
      bed.publish = () => errAsync(error)
      const { status, json } = await bed.send('POST', '/admin/v1/contracts/lin-shun', { base_revision: 3, text: 'new' }, OPERATOR)
      return [status, json.error]
    }
    expect(await publish({ kind: 'contract_conflict', message: 'm', currentRevision: 5 })).toEqual([409, { kind: 'contract_conflict', message: 'm', outcome: 'not_run', current_revision: 5 }])
    expect(await publish({ kind: 'contract_invalid', message: 'm', line: 4, field: 'limits.share', rule: 'r' })).toEqual([400, { kind: 'contract_invalid', message: 'm', field: 'limits.share', outcome: 'not_run', line: 4, rule: 'r' }])
    expect((await publish({ kind: 'contract_unavailable', message: 'm', mayLand: true }))[1].outcome).toEqual('unknown')
  })

  it('shows status and audit trail', async () => {
    const { json } = await bed.send('GET', '/admin/v1/status', undefined, OPERATOR)
    expect([json.entry, json.ready, json.streams.claims, json.queued]).toEqual(['entry-1', true, { next_offset: 5, caught_up: true, failing: false }, { 'order-app': 0 }])
    expect((await bed.send('GET', '/admin/v1/audit', undefined, OPERATOR)).json.events.length).toEqual(2)
  })
})
