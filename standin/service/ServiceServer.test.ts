import { after, describe, it } from 'node:test'
import { expect } from 'earl'
import { startServer } from '../common/startServer.js'
import { ServiceServer } from './ServiceServer.js'

// Only ends a run that would wait forever.
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

  it('answers a lookup with the id and the request id', async () => {
    const { order } = await startService()
    const response = await order('brim-7')
    expect(response.headers.get('x-request-id')).toEqual('req-brim-7')
    expect((await response.json() as any).id).toEqual('brim-7')
  })

  it('shows in its ledger that a ticket ran twice', async () => {
    const { ticket, ledger } = await startService()
    await (await ticket('k1')).text()
    await (await ticket('k1')).text()
    await (await ticket('k2')).text()
    expect((await ledger('?key=k1')).map(call => call.count)).toEqual([1, 2])
    expect((await ledger('?key=k2')).map(call => [call.request_id, call.count])).toEqual([['req-k2', 1]])
  })

  it('runs a ticket whose connection it resets', async () => {
    const { ticket, ledger, faults } = await startService()
    await faults({ reset_before_answer: 1 })
    await expect(ticket('k1')).toBeRejected()
    expect((await ledger('?key=k1'))[0].finished_at_ms).not.toEqual(undefined)
  })

  it('does not run what it rejects', async () => {
    const { ticket, ledger, faults } = await startService()
    await faults({ reject_503: 1 })
    expect((await ticket('k1')).status).toEqual(503)
    expect(await ledger()).toEqual([])
  })

  it('sends a body shorter than its Content-Length', async () => {
    const { order, faults } = await startService()
    await faults({ truncate: 1 })
    const response = await order('a')
    expect(response.headers.get('content-length')).not.toEqual(null)
    await expect(response.text()).toBeRejected()
  })

  it('sends half of a body that only the close delimits', async () => {
    const { order, faults } = await startService()
    const whole = await (await order('a')).text()
    await faults({ close_delimited: 1 })
    const response = await order('a')
    expect(response.headers.get('content-length')).toEqual(null)
    expect(await response.text()).toEqual(whole.slice(0, whole.length / 2))
  })

  it('answers with the previous request on demand', async () => {
    const { order, faults } = await startService()
    await (await order('first')).text()
    await faults({ swap_answers: true })
    const response = await order('second')
    expect(response.headers.get('x-request-id')).toEqual('req-first')
    expect((await response.json() as any).id).toEqual('first')
  })

  it('holds requests while frozen and runs them afterwards', async () => {
    const { order, ledger, faults } = await startService()
    await faults({ freeze: true })
    const held = order('a')
    expect(await ledger()).toEqual([])
    await faults({})
    expect((await held).status).toEqual(200)
  })
})
