import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { HttpTestFixture } from '../testing/HttpTestFixture.js'

describe('ServiceRoutes', () => {
  let fixture: HttpTestFixture
  let received: any
  before(async () => {
    fixture = await new HttpTestFixture().start()
    fixture.forward = request => {
      received = request
      return okAsync({ status: 201, headers: { 'content-type': 'application/octet-stream', connection: 'x-hop', 'x-hop': '1', 'x-app': 'kept', 'transfer-encoding': 'chunked' }, body: Uint8Array.from([0, 255, 10]) })
    }
  })
  after(() => fixture.server.dispose())

  it('keeps binary bodies, queries and end-to-end headers in both directions', async () => {
    const response = await fetch(`${fixture.url}/v1/services/order-app/orders/a%20b?x=1&x=%2F`, {
      method: 'POST',
      headers: { authorization: 'Bearer lin-shun-token', 'x-kind': 'trial', 'x-deadline-ms': '500' },
      body: Uint8Array.from([1, 0, 254]) as any
    })
    expect([response.status, [...new Uint8Array(await response.arrayBuffer())]]).toEqual([201, [0, 255, 10]])
    expect([response.headers.get('x-app'), response.headers.get('x-hop')]).toEqual(['kept', null])
    expect([received.path, received.method, [...received.body], received.workClassName]).toEqual(['/orders/a%20b?x=1&x=%2F', 'POST', [1, 0, 254], 'lookup'])
    expect(received.headers['x-kind']).toEqual('trial')
    expect(['authorization', 'host', 'content-length', 'x-deadline-ms'].filter(name => name in received.headers)).toEqual([])
  })

  it('forwards HEAD as HEAD if the work class allows it', async () => {
    expect((await fixture.send('HEAD', '/v1/services/order-app/orders')).status).toEqual(403)
    const lookup = fixture.contracts[0]?.contract.work['lookup']
    lookup?.methods.push('HEAD')
    const { status, json } = await fixture.send('HEAD', '/v1/services/order-app/orders')
    expect([status, json, received.method]).toEqual([201, '', 'HEAD'])
    lookup?.methods.pop()
  })

  it('rejects calls that no work class covers', async () => {
    const paths = ['/v1/services/order-app/admin', '/v1/services/order-app/orders-old', '/v1/services/order-app', '/v1/services/kapu/orders']
    for (const path of paths) expect([path, (await fixture.send('GET', path)).status]).toEqual([path, 403])
    expect((await fixture.send('DELETE', '/v1/services/order-app/orders')).status).toEqual(403)
    expect((await fixture.send('OPTIONS', '/v1/services/order-app/orders')).status).toEqual(405)
  })

  it('rejects encoded dot segments, which an upstream may resolve to a path outside the prefix', async () => {
    for (const path of ['/orders/..%2fadmin', '/orders/..%5cadmin', '/orders/%252e%252e%252fadmin']) {
      expect((await fixture.send('GET', `/v1/services/order-app${path}`)).json.error.field).toEqual('path')
    }
  })

  it('selects the work class by the longest prefix and requires an idempotency key if it is never repeated', async () => {
    expect((await fixture.send('POST', '/v1/services/order-app/orders/tickets', {})).json.error.field).toEqual('idempotency-key')
    expect((await fixture.send('POST', '/v1/services/order-app/orders/tickets', {}, { 'idempotency-key': 'k1' })).status).toEqual(201)
    expect([received.workClassName, received.idempotencyKey]).toEqual(['ticket', 'k1'])
  })

  it('forwards outcome, status and retry delay of a rejection', async () => {
    const forward = fixture.forward
    fixture.forward = () => errAsync({ kind: 'queue_full', message: 'too many', outcome: 'not_run', status: 429, retryAfterMs: 1500 })
    const { status, json, headers } = await fixture.send('GET', '/v1/services/order-app/orders')
    expect([status, json.error.kind, json.error.outcome, headers.get('retry-after')]).toEqual([429, 'queue_full', 'not_run', '2'])
    fixture.forward = forward
  })

  it('aborts a repeatable call when its caller disconnects, but not one that must not be repeated', async () => {
    fixture.forward = request => {
      received = request
      return ResultAsync.fromSafePromise(new Promise(resolve => { request.signal.addEventListener('abort', resolve) }))
    }
    for (const [path, isAborted] of [['orders', true], ['orders/tickets', false]] as const) {
      const controller = new AbortController()
      const sent = fetch(`${fixture.url}/v1/services/order-app/${path}`, {
        method: 'POST', signal: controller.signal, headers: { authorization: 'Bearer lin-shun-token', 'idempotency-key': 'k' }
      }).catch(() => {})
      await sleep(50)
      controller.abort()
      await sent
      await sleep(50)
      expect([path, received.signal.aborted]).toEqual([path, isAborted])
    }
  })
})
