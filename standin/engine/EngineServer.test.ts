import { after, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'earl'
import { startServer } from '../common/startServer.js'
import type { EngineOptions } from './EngineOptions.js'
import { EngineServer } from './EngineServer.js'
import { TokenSource } from './TokenSource.js'
import { versionOfToken } from './versionOfToken.js'

// Aborts a run that would otherwise hang.
const TIMEOUT_MS = 60_000

const MODEL = 'lin-shun/brim'
const ENDLESS = 1_000_000
const OPTIONS: EngineOptions = {
  model: 'shaping-llm',
  weights: '',
  capacity: 4,
  tokensPerSecond: 2000,
  prefillTokensPerSecond: 100_000,
  cacheBlocks: 4,
  cacheEventLagMs: 0,
  cacheEventLoseEvery: 0,
  loadLagMs: 0,
  swapMs: 0,
  checkFence: true
}
const closers: Array<() => void> = []

interface Chunk {
  choices: Array<{ text: string, token_ids: number[], finish_reason: string | null }>
  weights?: { version: number, kv_version: number, boot_id: string }
}

async function startEngine (changes: Partial<EngineOptions> = {}) {
  const engine = new EngineServer({ ...OPTIONS, ...changes })
  const { server, address } = await startServer(engine.app, '127.0.0.1:0')
  closers.push(() => {
    server.close()
    if ('closeAllConnections' in server) server.closeAllConnections()
  })
  const post = async (path: string, body: unknown, init: RequestInit = {}) =>
    await fetch(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body), ...init })
  const get = async (path: string): Promise<any> => await (await fetch(`http://${address}${path}`)).json()
  const complete = (body: object, id = 'r1') => {
    const abort = new AbortController()
    const response = post('/v1/completions', { model: MODEL, prompt: 'hello', stream: true, ...body }, {
      headers: { 'x-request-id': id }, signal: abort.signal
    })
    return { chunks: readChunks(response), abort: () => abort.abort() }
  }
  const load = async (version: number, fence = 1) => await post('/v1/orders', {
    order_id: `load-${version}-${fence}`, kind: 'load_version', value: { model: MODEL, version }, fence
  })
  const waitFor = async (path: string, check: (response: any) => boolean) => {
    while (!check(await get(path))) await sleep(5)
  }
  return { post, get, complete, load, waitFor, faults: async (faults: object) => await post('/faults', faults) }
}

/** Yields the chunks of a stream, and the string `[DONE]` for its last event. */
async function * readChunks (response: Promise<Response>): AsyncGenerator<Chunk | '[DONE]'> {
  const decoder = new TextDecoder()
  let buffer = ''
  for await (const bytes of (await response).body as unknown as AsyncIterable<Uint8Array>) {
    buffer += decoder.decode(bytes, { stream: true })
    const events = buffer.split('\n\n')
    buffer = events.pop()!
    for (const event of events) yield event === 'data: [DONE]' ? '[DONE]' : JSON.parse(event.slice('data: '.length))
  }
}

async function collect (chunks: AsyncGenerator<Chunk | '[DONE]'>) {
  const tokenIds: number[] = []
  const stamps: Chunk['weights'][] = []
  let isDone = false
  let finishReason: string | null = null
  for await (const chunk of chunks) {
    if (chunk === '[DONE]') {
      isDone = true
      continue
    }
    const choice = chunk.choices[0]!
    tokenIds.push(...choice.token_ids)
    stamps.push(...choice.token_ids.map(() => chunk.weights))
    finishReason = choice.finish_reason
  }
  return { tokenIds, stamps, isDone, finishReason }
}

describe('engine', { timeout: TIMEOUT_MS }, () => {
  after(() => { for (const close of closers) close() })

  it('generates tokens that can be recomputed from prompt, model and seed', async () => {
    const { complete } = await startEngine()
    const result = await collect(complete({ prompt: 'hat len=30', max_tokens: 100, seed: 7 }).chunks)
    const source = new TokenSource('hat len=30', MODEL, 7)
    expect(result.tokenIds).toEqual(Array.from({ length: 30 }, (_, index) => source.tokenAt(0, index)))
    expect([result.isDone, result.finishReason]).toEqual([true, 'stop'])
  })

  it('derives the random output length from the prompt and the seed, within the limit', () => {
    const lengths = Array.from({ length: 200 }, (_, seed) => new TokenSource('len=pareto:10', MODEL, seed).outputTokens(500))
    expect(Math.min(...lengths)).toBeGreaterThanOrEqual(10)
    expect(Math.max(...lengths)).toBeGreaterThan(100)
    expect(new TokenSource('len=pareto:10', MODEL, 3).outputTokens(500)).toEqual(lengths[3]!)
  })

  it('continues a resumed generation on another engine with the same tokens', async () => {
    const [first, second] = [await startEngine(), await startEngine()]
    const uninterrupted = await collect(first.complete({ max_tokens: 40 }).chunks)
    const resume = { token_ids: uninterrupted.tokenIds.slice(0, 15) }
    const rest = await collect(second.complete({ max_tokens: 40, resume }).chunks)
    expect([...resume.token_ids, ...rest.tokenIds]).toEqual(uninterrupted.tokenIds)
    expect(rest.finishReason).toEqual('length')
  })

  it('stamps each token with the version that generated it, also across loads', async () => {
    const { complete, load } = await startEngine()
    const { chunks, abort } = complete({ max_tokens: ENDLESS })
    const versions = new Set<number>()
    for await (const chunk of chunks) {
      if (chunk === '[DONE]') throw new Error('ended too early')
      const { version, kv_version: kvVersion } = chunk.weights!
      expect(chunk.choices[0]!.token_ids.map(versionOfToken)).toEqual(chunk.choices[0]!.token_ids.map(() => version))
      expect(kvVersion).toEqual(0)
      if (!versions.has(version)) await load(version + 1)
      versions.add(version)
      if (version === 2) break
    }
    abort()
    expect([...versions]).toEqual([0, 1, 2])
    const fresh = await collect(complete({ max_tokens: 1 }, 'r2').chunks)
    expect(fresh.stamps[0]!.kv_version).toBeGreaterThanOrEqual(2)
  })

  it('stamps chunks with the old version after a skipped load, although its state reports the new one', async () => {
    const { complete, load, faults, waitFor } = await startEngine()
    await faults({ skip_load: true })
    await load(1)
    await waitFor('/v1/state', state => state.versions[MODEL] === 1)
    const result = await collect(complete({ max_tokens: 3 }).chunks)
    expect(result.stamps.map(stamp => stamp!.version)).toEqual([0, 0, 0])
  })

  it('keeps its version when a load fails and runs the order again when it is repeated', async () => {
    const { load, faults, get, waitFor } = await startEngine()
    await faults({ fail_loads: 1 })
    await load(1)
    await waitFor('/v1/state', state => state.last_error !== null)
    expect((await get('/v1/state')).versions).toLooseEqual({ 'shaping-llm': 0 })
    await load(1)
    await waitFor('/v1/state', state => state.versions[MODEL] === 1)
  })

  it('refuses an old fencing token only if it checks fencing tokens', async () => {
    const [checking, ignoring] = [await startEngine(), await startEngine({ checkFence: false })]
    expect((await checking.load(2, 9)).status).toEqual(202)
    expect((await checking.load(1, 8)).status).toEqual(409)
    expect((await ignoring.load(2, 9)).status).toEqual(202)
    expect((await ignoring.load(1, 8)).status).toEqual(202)
  })

  it('ends a truncated stream without finish reason and [DONE] event', async () => {
    const { complete, faults } = await startEngine()
    await faults({ truncate_streams: 1 })
    const truncated = await collect(complete({ max_tokens: 60 }).chunks)
    expect([truncated.isDone, truncated.finishReason]).toEqual([false, null])
    const uninterrupted = await collect(complete({ max_tokens: 60 }, 'r2').chunks)
    expect(uninterrupted.isDone).toEqual(true)
  })

  it('resets streams after the given number of tokens', async () => {
    const { complete, faults } = await startEngine()
    await faults({ drop_after_tokens: 5 })
    await expect(collect(complete({ max_tokens: ENDLESS }).chunks)).toBeRejected()
  })

  it('omits the version stamps while the fault is set', async () => {
    const { complete, faults } = await startEngine()
    await faults({ unstamped: true })
    expect((await collect(complete({ max_tokens: 2 }).chunks)).stamps).toEqual([undefined, undefined])
  })

  it('queues requests beyond its capacity and reports them as waiting', async () => {
    const { complete, post, waitFor } = await startEngine({ capacity: 1 })
    const first = collect(complete({ max_tokens: ENDLESS }, 'first').chunks)
    first.catch(() => {})
    await waitFor('/v1/load', load => load.running === 1)
    const second = collect(complete({ max_tokens: 2 }, 'second').chunks)
    await waitFor('/v1/load', load => load.waiting === 1)
    expect((await post('/v1/requests/first/cancel', {})).status).toEqual(200)
    await expect(first).toBeRejected()
    expect((await second).isDone).toEqual(true)
  })

  it('cancels a generation whose connection is closed', async () => {
    const { complete, waitFor } = await startEngine()
    const { chunks, abort } = complete({ max_tokens: ENDLESS })
    await chunks.next()
    abort()
    await waitFor('/ledger', ledger => ledger.requests[0].outcome === 'cancelled')
  })

  it('reports cached prefixes, evicts blocks beyond its limit and loses every n-th event', async () => {
    const { complete, get } = await startEngine({ cacheBlocks: 2, cacheEventLoseEvery: 2 })
    const prompt = (word: string) => Array.from({ length: 32 }, () => word).join(' ')
    await collect(complete({ prompt: prompt('felt'), max_tokens: 1 }).chunks)
    await collect(complete({ prompt: prompt('brim'), max_tokens: 1 }, 'r2').chunks)
    const { events, next } = await get('/v1/cache-events?from=0')
    expect(events.map((event: any) => [event.seq, event.kind])).toEqual([[0, 'stored'], [2, 'stored'], [4, 'evicted']])
    expect(next).toEqual(5)
  })

  it('stamps chunks with the version of an imported KV cache', async () => {
    const [old, updated] = [await startEngine(), await startEngine()]
    const { chunks, abort } = old.complete({ max_tokens: ENDLESS })
    await chunks.next()
    const { kv_handle: handle } = await (await old.post('/v1/kv/export', { request_id: 'r1' })).json() as any
    abort()
    await updated.load(3)
    await updated.waitFor('/v1/state', state => state.versions[MODEL] === 3)
    const result = await collect(updated.complete({ max_tokens: 2, kv_handle: handle }).chunks)
    expect(result.stamps.map(stamp => [stamp!.version, stamp!.kv_version])).toEqual([[3, 0], [3, 0]])
  })
})
