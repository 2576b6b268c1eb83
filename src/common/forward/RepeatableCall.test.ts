import { beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'
import type { AttemptOptions } from './AttemptOptions.js'
import type { AttemptRunner } from './AttemptRunner.js'
import type { CallRequest } from './CallRequest.js'
import { LatencyWindow } from './LatencyWindow.js'
import { RepeatableCall } from './RepeatableCall.js'
import { ForwarderHarness } from './testing/ForwarderHarness.js'
import { usePausedForwarder } from './testing/usePausedForwarder.test.js'

const refused: UpstreamError = { kind: 'connect_failed', message: '', sent: false }
const reset: UpstreamError = { kind: 'reset', message: '', sent: true }

describe('RepeatableCall', () => {
  const forwarder = usePausedForwarder()
  let h: ForwarderHarness

  beforeEach(() => { h = forwarder() })

  it('repeats a lookup on another upstream after a reset or a refused connection', async () => {
    const outcome = await h.start()
    h.sent[0]!.fail(reset)
    await h.flush()
    h.sent[1]!.fail(refused)
    await h.flush()
    // Both failed: the next attempt may use any upstream again.
    h.sent[2]!.answer('x')
    expect(await outcome()).toEqual('x')
    expect(h.sent.map((item) => item.address)).toEqual(['a', 'b', 'a'])
    expect(h.released.map((item) => item.kind)).toEqual(['failed', 'failed', 'completed'])
    expect(new Set(h.sent.map((item) => item.request.requestId)).size).toEqual(3)
  })

  it('does not repeat a lookup after its deadline, and bounds the attempts', async () => {
    const late = await h.start()
    mock.timers.tick(10_000)
    h.sent[0]!.fail(reset)
    expect(await late()).toEqual('reset unknown 502')
    expect(h.sent.length).toEqual(1)
    const outcome = await h.start()
    for (let attempt = 0; attempt < 10; attempt++) {
      h.sent.at(-1)!.fail(reset)
      await h.flush()
    }
    expect([(await outcome()).split(' ')[1], h.sent.length <= 5]).toEqual(['unknown', true])
  })

  it('reports not_run only when no attempt sent a byte', async () => {
    const never = await h.start()
    h.refusal = { kind: 'queue_full', message: '', retryAfterMs: 70 }
    h.sent[0]!.fail(refused)
    expect(await never()).toEqual('queue_full not_run 429')
    h.refusal = undefined
    const once = await h.start()
    h.refusal = { kind: 'request_blocked', message: '' }
    h.sent[1]!.fail(reset)
    expect(await once()).toEqual('request_blocked unknown 422')
  })

  it('passes on an error of the service as its answer, and takes no time estimate from it', async () => {
    const outcome = await h.start()
    h.sent[0]!.answer('broken', 503)
    expect(await outcome()).toEqual('broken')
    expect([h.sent.length, h.released[0]!.kind]).toEqual([1, 'cancelled'])
  })

  it('hedges on another upstream after the 95th percentile and aborts the slower attempt', async () => {
    await h.warmUp(40)
    const outcome = await h.start()
    mock.timers.tick(9)
    await h.flush()
    expect(h.sent.length).toEqual(1)
    mock.timers.tick(2)
    await h.flush()
    expect(h.sent.map((item) => item.address)).toEqual(['a', 'b'])
    h.sent[1]!.answer('hedge')
    expect(await outcome()).toEqual('hedge')
    await h.flush()
    expect(h.sent[0]!.signal.aborted).toEqual(true)
    expect(h.released.map((item) => item.kind)).toEqual(['completed', 'cancelled'])
  })

  // Guards against a second run of lookups of a service that asked for none.
  it('does not hedge when the service switches it off', async () => {
    h = new ForwarderHarness((ms) => mock.timers.tick(ms), false)
    await h.warmUp(40)
    const outcome = await h.start()
    mock.timers.tick(1000)
    await h.flush()
    h.sent[0]!.answer('x')
    await outcome()
    expect(h.sent.length).toEqual(1)
  })

  it('does not hedge a suspect', async () => {
    await h.warmUp(40)
    h.isSuspected = true
    const outcome = await h.start()
    mock.timers.tick(1000)
    await h.flush()
    h.sent[0]!.answer('x')
    await outcome()
    expect(h.sent.length).toEqual(1)
  })

  it('counts the time of aborted attempts, so that hedges do not lower the percentile', async () => {
    const latency = new LatencyWindow()
    for (let index = 0; index < 30; index++) latency.record(10)
    for (let index = 0; index < 2; index++) {
      const answers: Array<() => void> = []
      const runner = {
        run: (_request: CallRequest, options: AttemptOptions) => new Promise((resolve) => {
          options.onDispatched?.('a')
          const cancelled = { stage: 'upstream', upstreamId: 'a', error: { kind: 'cancelled', message: '', sent: true } }
          options.callSignal.addEventListener('abort', () => resolve(err(cancelled)))
          answers.push(() => resolve(ok({ status: 200, headers: {}, body: new Uint8Array() })))
        })
      } as unknown as AttemptRunner
      const request = { requestId: 'r', deadlineAtMs: performance.now() + 10_000, signal: new AbortController().signal } as CallRequest
      const outcome = new RepeatableCall(runner, request, 'f', latency, () => true).run()
      mock.timers.tick(30)
      answers[1]!()
      await outcome
      await h.flush()
    }
    mock.timers.tick(200)
    expect(latency.percentile(95)! > 20).toEqual(true)
  })

  it('waits for the hedge when the first attempt fails', async () => {
    await h.warmUp(40)
    const outcome = await h.start()
    mock.timers.tick(20)
    await h.flush()
    h.sent[0]!.fail(reset)
    await h.flush()
    h.sent[1]!.answer('hedge')
    expect(await outcome()).toEqual('hedge')
    expect(h.sent.length).toEqual(2)
  })

  it('ends all attempts when the caller leaves', async () => {
    const controller = new AbortController()
    const outcome = await h.start({ signal: controller.signal })
    controller.abort()
    expect(await outcome()).toEqual('cancelled unknown 499')
    expect(h.sent.length).toEqual(1)
  })

  it('gives equal requests of an organisation one fingerprint, and others another', async () => {
    await h.start()
    await h.start({ requestId: 'other' })
    await h.start({ path: '/y' })
    await h.start({ body: new Uint8Array([2]) })
    await h.start({ organisation: 'd' })
    const seen = h.admitted.map((item) => item.fingerprint)
    expect(seen[0]).toEqual(seen[1]!)
    expect(new Set(seen).size).toEqual(4)
  })
})
