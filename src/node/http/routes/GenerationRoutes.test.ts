import { after, before, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import { HttpTestFixture } from '../testing/HttpTestFixture.js'

const chunk = (text: string, finishReason?: string): any => ok({ text, tokenIds: [1, 2], finishReason })
const failure = err({ kind: 'engine_lost', message: 'no engine left', outcome: 'unknown', status: 502 })

describe('GenerationRoutes', () => {
  let fixture: HttpTestFixture
  let received: any
  const generateChunks = (...results: any[]): void => {
    fixture.generate = async function * (request) { received = request; yield * results }
  }
  before(async () => { fixture = await new HttpTestFixture().start() })
  after(() => fixture.server.dispose())

  it('returns a whole completion with usage', async () => {
    generateChunks(chunk('warm '), chunk('felt', 'stop'))
    const { status, json } = await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'brim', max_tokens: 50, temperature: 0.5 })
    expect([status, json.object, json.choices[0].text, json.choices[0].finish_reason]).toEqual([200, 'text_completion', 'warm felt', 'stop'])
    expect(json.usage).toEqual({ prompt_tokens: null, completion_tokens: 4, total_tokens: null })
    expect([received.organisation, received.workClass, received.model, received.maxTokens, received.size]).toEqual(['lin-shun', 'advice', 'shaping-llm', 50, 'short'])
    expect(received.parameters).toEqual({ temperature: 0.5 })
  })

  it('selects the work class by the token limit, and the model by the trainer of the class', async () => {
    generateChunks(chunk('x', 'stop'))
    await fixture.send('POST', '/v1/chat/completions', { model: 'shaping-llm', max_completion_tokens: 500, messages: [{ role: 'user', content: 'hi' }] })
    expect([received.workClass, received.model, received.size, received.prompt]).toEqual(['essay', 'lin-shun/brim', 'long', 'user: hi\nassistant:'])
    expect((await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'x', max_tokens: 5000 })).status).toEqual(403)
    expect((await fixture.send('POST', '/v1/completions', { model: 'mester', prompt: 'x' })).json.error.kind).toEqual('not_covered')
  })

  it('rejects a field that the schema does not define', async () => {
    const { status, json } = await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'x', kv_handle: 'foreign' })
    expect([status, json.error.field]).toEqual([400, 'kv_handle'])
  })

  it('streams chunks, usage and the end marker', async () => {
    generateChunks(chunk('a'), chunk('b', 'length'))
    const { json, headers } = await fixture.send('POST', '/v1/chat/completions', { model: 'shaping-llm', stream: true, stream_options: { include_usage: true }, messages: [{ role: 'user', content: 'hi' }] })
    const events = json.trim().split('\n\n').map((event: string) => event.replace('data: ', ''))
    expect(headers.get('content-type')).toEqual('text/event-stream')
    expect(events.at(-1)).toEqual('[DONE]')
    const bodies = events.slice(0, -1).map((event: string) => JSON.parse(event))
    expect(bodies.map((body: any) => body.choices[0]?.delta)).toEqual([{ role: 'assistant', content: 'a' }, { content: 'b' }, undefined])
    expect(bodies[2].usage.completion_tokens).toEqual(4)
  })

  it('reports an error before the first chunk by status, a later one by an event without the end marker', async () => {
    generateChunks(failure)
    const early = await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'x', stream: true })
    expect([early.status, early.json.error.kind]).toEqual([502, 'engine_lost'])
    for (const rest of [[failure], []]) {
      generateChunks(chunk('a'), ...rest)
      const late = await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'x', stream: true })
      expect(late.json).toInclude('event: error')
      expect(late.json).not.toInclude('[DONE]')
    }
    generateChunks(chunk('a'))
    expect((await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'x' })).json.error.kind).toEqual('stream_incomplete')
  })

  it('shortens the deadline by the header and rejects an invalid header', async () => {
    generateChunks(chunk('a', 'stop'))
    await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'x' }, { 'x-deadline-ms': '200' })
    expect(received.deadlineAtMs - performance.now()).toBeLessThan(200)
    expect((await fixture.send('POST', '/v1/completions', { model: 'shaping-llm', prompt: 'x' }, { 'x-deadline-ms': '-1' })).json.error.field).toEqual('x-deadline-ms')
  })

  it('aborts the generation when the caller disconnects, with and without streaming', async () => {
    for (const stream of [true, false]) {
      let isReturned = false
      fixture.generate = async function * (request) {
        received = request
        try {
          yield chunk('a')
          await new Promise(resolve => request.signal.addEventListener('abort', resolve))
          yield failure
        } finally {
          isReturned = true
        }
      }
      const controller = new AbortController()
      const sent = fetch(`${fixture.url}/v1/completions`, {
        method: 'POST',
        signal: controller.signal,
        headers: { authorization: 'Bearer lin-shun-token', 'content-type': 'application/json', 'x-request-id': `gone-${stream}` },
        body: JSON.stringify({ model: 'shaping-llm', prompt: 'x', stream })
      }).catch(() => {})
      await sleep(50)
      controller.abort()
      await sent
      await sleep(50)
      expect([received.signal.aborted, isReturned, fixture.server.inFlight()]).toEqual([true, true, 0])
      expect(fixture.logLines.find(line => line['request'] === `gone-${stream}`)?.['outcome']).toEqual('caller_gone')
    }
  })

  it('closes a stream whose reader stalls once the maximum stream time has passed', async () => {
    // A response is destroyed `STREAM_GRACE_MS` (5 s) after the maximum stream time, here 0.5 s after its request.
    const stalled = await new HttpTestFixture({ maxStreamMs: -4500 }).start()
    stalled.generate = async function * () { for (;;) yield chunk('x'.repeat(100_000)) }
    const response = await fetch(`${stalled.url}/v1/completions`, {
      method: 'POST',
      headers: { authorization: 'Bearer lin-shun-token', 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'shaping-llm', prompt: 'x', stream: true })
    })
    expect(stalled.server.inFlight()).toEqual(1)
    await sleep(800)
    expect(stalled.server.inFlight()).toEqual(0)
    await response.body?.cancel().catch(() => {})
    stalled.server.dispose()
  })
})
