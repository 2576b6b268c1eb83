import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { startServer } from '../common/startServer.js'
import { ServiceServer } from './ServiceServer.js'

// Aborts a run that would otherwise hang.
const TIMEOUT_MS = 60_000

const closers: Array<() => void> = []

async function startService () {
  const service = new ServiceServer({ id: 'kapu-1', capacity: 2, serviceTimeMs: 1, loadLagMs: 0 })
  const { server, address } = await startServer(service.app, '127.0.0.1:0')
  closers.push(() => {
    server.close()
    if ('closeAllConnections' in server) server.closeAllConnections()
  })
  const base = `http://${address}`
  return {
    order: async (id: string) => await fetch(`${base}/orders/${id}`, { headers: { 'x-request-id': `req-${id}` } }),
    ticket: async (key: string) => await fetch(`${base}/tickets`, {
      method: 'POST', body: '{"batch":1}', headers: { 'idempotency-key': key, 'x-request-id': `req-${key}` }
    }),
    ledger: async (query = ''): Promise<any[]> => (await (await fetch(`${base}/ledger${query}`)).json() as any).calls,
    faults: async (faults: object) => await fetch(`${base}/faults`, { method: 'POST', body: JSON.stringify(faults) })
  }
}

describe('service', { timeout: TIMEOUT_MS }, () => {
  after(() => { for (const close of closers) close() })

  it('responds to a lookup with the id and the request id', async () => {
    const { order } = await startService()
    const response = await order('brim-7')
    expect(response.headers.get('x-request-id')).toEqual('req-brim-7')
    expect((await response.json() as any).id).toEqual('brim-7')
  })

  it('records each run of a repeated ticket in its call history', async () => {
    const { ticket, ledger } = await startService()
    await (await ticket('k1')).text()
    await (await ticket('k1')).text()
    await (await ticket('k2')).text()
    expect((await ledger('?key=k1')).map(call => call.count)).toEqual([1, 2])
    expect((await ledger('?key=k2')).map(call => [call.request_id, call.count])).toEqual([['req-k2', 1]])
  })

  it('runs a ticket before it resets the connection', async () => {
    const { ticket, ledger, faults } = await startService()
    await faults({ reset_before_answer: 1 })
    await expect(ticket('k1')).toBeRejected()
    expect((await ledger('?key=k1'))[0].finished_at_ms).not.toEqual(undefined)
  })

  it('does not run a rejected request', async () => {
    const { ticket, ledger, faults } = await startService()
    await faults({ reject_503: 1 })
    expect((await ticket('k1')).status).toEqual(503)
    expect(await ledger()).toEqual([])
  })

  it('truncates a body below its Content-Length', async () => {
    const { order, faults } = await startService()
    await faults({ truncate: 1 })
    const response = await order('a')
    expect(response.headers.get('content-length')).not.toEqual(null)
    await expect(response.text()).toBeRejected()
  })

  it('truncates a body that is delimited only by the end of the connection', async () => {
    const { order, faults } = await startService()
    const completeBody = await (await order('a')).text()
    await faults({ close_delimited: 1 })
    const response = await order('a')
    expect(response.headers.get('content-length')).toEqual(null)
    expect(await response.text()).toEqual(completeBody.slice(0, completeBody.length / 2))
  })

  it('responds with the previous response while the fault is set', async () => {
    const { order, faults } = await startService()
    await (await order('first')).text()
    await faults({ swap_answers: true })
    const response = await order('second')
    expect(response.headers.get('x-request-id')).toEqual('req-first')
    expect((await response.json() as any).id).toEqual('first')
  })

  it('blocks requests while frozen and runs them afterwards', async () => {
    const { order, ledger, faults } = await startService()
    await faults({ freeze: true })
    const held = order('a')
    expect(await ledger()).toEqual([])
    await faults({})
    expect((await held).status).toEqual(200)
  })
})
