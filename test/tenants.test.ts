import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import { CallRecorder } from '../tools/harness/CallRecorder.js'
import { createCallContract } from '../tools/harness/createCallContract.js'
import { Cluster } from '../tools/harness/Cluster.js'
import { sha256Hex } from '../tools/harness/sha256Hex.js'
import { bearerTokens } from '../tools/harness/bearerTokens.js'
import { waitUntil } from '../tools/harness/waitUntil.js'

const TIMEOUT_MS = 120_000
const MAX_BODY_BYTES = 65_536
const TRAINER = `
[trainer.brim]
service = shaping-llm
staleness_versions = 2
step_deadline_s = 600
weights_every_s = 240
max_tokens = 64
`
const LIN_SHUN = createCallContract() + TRAINER
const ALMASKERT = `
[contract]
organisation = almaskert
operator = ilona
[access]
token_sha256 = ${sha256Hex(bearerTokens.almaskert)}
[limits]
key_window_s = 600
[work.ticket]
service = order-app
kind = call
methods = POST
path = /tickets
deadline_ms = 5000
repeat = never
${TRAINER}`

describe('organisations and input', { timeout: TIMEOUT_MS }, () => {
  const recorder = new CallRecorder('order-app')
  let cluster: Cluster
  const services = () => [...cluster.upstreams.values()].filter(upstream => upstream.name.startsWith('order-app'))

  const send = async (method: string, path: string, headers: Record<string, string> = {}, body?: string) => {
    const response = await fetch(`http://${cluster.entries[0]!.listen}${path}`, { method, headers, ...body !== undefined && { body } })
    const json: any = await response.json().catch(() => undefined)
    return { status: response.status, json, error: json?.error }
  }
  const callerHeaders = (organisation: 'lin-shun' | 'almaskert') => ({ authorization: `Bearer ${bearerTokens[organisation]}`, 'content-type': 'application/json' })

  /** Writes bytes to an entry and resolves with the status line of the response. */
  const sendRaw = async (bytes: string): Promise<string> => {
    const [host, port] = cluster.entries[0]!.listen.split(':')
    const socket = connect(Number(port), host)
    socket.setEncoding('utf8')
    socket.write(bytes)
    let text = ''
    for await (const chunk of socket) {
      text += String(chunk)
      if (text.includes('\r\n')) break
    }
    socket.destroy()
    return text.split('\r\n')[0]!
  }

  before(async () => {
    cluster = await Cluster.start({
      entries: 2,
      services: { 'order-app': { kind: 'plain', count: 1 }, 'shaping-llm': { kind: 'engine', count: 1 } },
      contracts: [LIN_SHUN, ALMASKERT],
      http: { max_body_bytes: MAX_BODY_BYTES, max_header_bytes: 8192 }
    })
  })
  after(async () => await cluster.dispose())

  it('isolates idempotency keys, tickets and services of organisations', async () => {
    const linShunTicket = await recorder.call(cluster.entries[0]!, { key: 'same', body: 'felt' })
    const almaskertTicket = await recorder.call(cluster.entries[1]!, { key: 'same', body: 'grapes', token: bearerTokens.almaskert })
    expect([linShunTicket.status, almaskertTicket.status]).toEqual([200, 200])
    expect(almaskertTicket.body.ticket === linShunTicket.body.ticket).toEqual(false)
    const lookup = await recorder.call(cluster.entries[0]!, { path: '/orders/1', token: bearerTokens.almaskert })
    expect([lookup.status, lookup.kind, lookup.outcome]).toEqual([403, 'not_covered', 'not_run'])
  })

  it('isolates trainers of the same name in different organisations', async () => {
    const step = JSON.stringify({ step: 1, groups: [{ group: 'g', prompt: 'secret brim curve', samples: 2, max_tokens: 16 }] })
    expect((await send('POST', '/v1/trainers/brim/steps', callerHeaders('lin-shun'), step)).status).toEqual(200)
    const read = async (organisation: 'lin-shun' | 'almaskert') => (await send('GET', '/v1/trainers/brim/groups?wait_ms=500', callerHeaders(organisation))).json
    const { cursor } = await waitUntil('the group is delivered', async () => {
      const page = await read('lin-shun')
      return page.groups.length === 1 ? page : undefined
    })
    expect((await read('almaskert')).groups).toEqual([])
    // An acknowledgement or a version from another organisation has no effect on this trainer.
    await send('POST', '/v1/trainers/brim/ack', callerHeaders('almaskert'), JSON.stringify({ cursor }))
    await send('POST', '/v1/trainers/brim/weights', callerHeaders('almaskert'), JSON.stringify({ version: 50 }))
    expect((await read('lin-shun')).groups.length).toEqual(1)
  })

  it('answers wrong tokens with 401 without revealing what exists', async () => {
    const paths = ['/v1/services/order-app/orders/1', '/v1/services/nothing/x', '/v1/trainers/brim/groups', '/v1/trainers/none/groups', '/admin/v1/contracts/lin-shun', '/admin/v1/contracts/none', '/admin/v1/status', '/admin/v1/audit']
    for (const authorization of [undefined, 'Bearer wrong', 'Basic abc', `Bearer ${bearerTokens['lin-shun']}x`]) {
      for (const path of paths) {
        const { status, error } = await send('GET', path, authorization === undefined ? {} : { authorization })
        expect([path, status, error?.outcome]).toEqual([path, 401, 'not_run'])
      }
    }
    const wrongRole = [
      await send('GET', '/admin/v1/contracts', callerHeaders('lin-shun')),
      await send('POST', '/admin/v1/contracts/lin-shun', callerHeaders('lin-shun'), JSON.stringify({ base_revision: 1, text: LIN_SHUN })),
      await send('GET', '/v1/services/order-app/orders/1', { authorization: `Bearer ${bearerTokens.operators.mei}` })
    ]
    expect(wrongRole.map(response => response.status)).toEqual([401, 401, 401])
  })

  it('answers malformed and oversized input with a 4xx that states the error, and runs nothing', async () => {
    const runsBefore = (await recorder.fetchRuns(services())).length
    const ticket = { ...callerHeaders('lin-shun'), 'idempotency-key': 'input' }
    const large = 'x'.repeat(MAX_BODY_BYTES + 1)
    const completion = (fields: object) => JSON.stringify({ model: 'shaping-llm', prompt: 'p', ...fields })
    const cases: Array<[number, string, string, Record<string, string>, string?]> = [
      [400, 'POST', '/v1/services/order-app/tickets', callerHeaders('lin-shun'), 'no key'],
      [400, 'POST', '/v1/services/order-app/tickets', { ...ticket, 'idempotency-key': 'k'.repeat(256) }, 'x'],
      [400, 'POST', '/v1/services/order-app/tickets', { ...ticket, 'x-deadline-ms': '-5' }, 'x'],
      [400, 'POST', '/v1/services/order-app/tickets', { ...ticket, 'x-deadline-ms': '1e3' }, 'x'],
      [413, 'POST', '/v1/services/order-app/tickets', ticket, large],
      [431, 'GET', '/v1/services/order-app/orders/1', { ...callerHeaders('lin-shun'), 'x-long': 'y'.repeat(10_000) }],
      [400, 'GET', '/v1/services/order-app/orders/%2e%2e%2ftickets', callerHeaders('lin-shun')],
      [403, 'GET', '/v1/services/order-app/tickets', callerHeaders('lin-shun')],
      [405, 'OPTIONS', '/v1/services/order-app/orders/1', callerHeaders('lin-shun')],
      [404, 'GET', '/v1/nothing', callerHeaders('lin-shun')],
      [400, 'POST', '/v1/completions', callerHeaders('lin-shun'), '{"model":'],
      [400, 'POST', '/v1/completions', callerHeaders('lin-shun'), completion({ max_tokens: -1 })],
      [400, 'POST', '/v1/completions', callerHeaders('lin-shun'), JSON.stringify({ model: 7 })],
      [413, 'POST', '/v1/completions', callerHeaders('lin-shun'), completion({ prompt: large })],
      [400, 'GET', '/v1/trainers/brim/groups?cursor=abc', callerHeaders('lin-shun')],
      [400, 'GET', '/v1/trainers/brim/groups?max=0', callerHeaders('lin-shun')],
      [404, 'GET', '/v1/trainers/unknown/groups', callerHeaders('lin-shun')],
      [400, 'POST', '/v1/trainers/brim/steps', callerHeaders('lin-shun'), '{"step":1,"groups":[]}'],
      [400, 'POST', '/v1/trainers/brim/ack', callerHeaders('lin-shun'), '{"cursor":1.5}'],
      [400, 'POST', '/admin/v1/contracts/lin-shun', { authorization: `Bearer ${bearerTokens.operators.mei}`, 'content-type': 'application/json' }, '{"base_revision":1,"text":"[contract"}']
    ]
    const results = []
    for (const [status, method, path, headers, body] of cases) {
      const response = await send(method, path, headers, body)
      const hasErrorBody = typeof response.error?.kind === 'string' && typeof response.error.message === 'string' && response.error.outcome === 'not_run'
      results.push([method, path, status, response.status, hasErrorBody])
    }
    expect(results).toEqual(cases.map(([status, method, path]) => [method, path, status, status, true]))
    expect(await sendRaw('NONSENSE\r\n\r\n')).toInclude(' 400 ')
    expect(await sendRaw('POST /v1/services/order-app/tickets HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhood')).toInclude(' 400 ')
    expect((await recorder.fetchRuns(services())).length).toEqual(runsBefore)
  })

  it('does not run a ticket whose body ends early', async () => {
    const [host, port] = cluster.entries[0]!.listen.split(':')
    const socket = connect(Number(port), host)
    socket.write(`POST /v1/services/order-app/tickets HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${bearerTokens['lin-shun']}\r\nidempotency-key: early\r\ncontent-length: 100\r\n\r\nhalf a hood`)
    await new Promise(resolve => socket.once('connect', () => setTimeout(resolve, 100)))
    socket.destroy()
    await recorder.call(cluster.entries[0]!, { key: 'later' })
    expect((await recorder.fetchRuns(services())).filter(run => run.key === 'early')).toEqual([])
  })
})
