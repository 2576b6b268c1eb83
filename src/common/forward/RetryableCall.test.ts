import { beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'
import type { AttemptOptions } from './AttemptOptions.js'
import type { AttemptRunner } from './AttemptRunner.js'
import type { CallRequest } from './CallRequest.js'
import { LatencyWindow } from './LatencyWindow.js'
import { RetryableCall } from './RetryableCall.js'
import { ForwarderHarness } from './testing/ForwarderHarness.js'
import { useForwarderHarness } from './testing/useForwarderHarness.test.js'

const refused: UpstreamError = { kind: 'connect_failed', message: '', sent: false }
const reset: UpstreamError = { kind: 'reset', message: '', sent: true }

describe('RetryableCall', () => {
  const currentHarness = useForwarderHarness()
  let harness: ForwarderHarness

  beforeEach(() => { harness = currentHarness() })

  it('retries a lookup on another upstream after a reset or a refused connection', async () => {
    const outcome = await harness.start()
    harness.sent[0]!.fail(reset)
    await harness.flush()
    harness.sent[1]!.fail(refused)
    await harness.flush()
    // Both upstreams failed, so the next attempt may use either of them.
    harness.sent[2]!.respond('x')
    expect(await outcome()).toEqual('x')
    expect(harness.sent.map((item) => item.address)).toEqual(['a', 'b', 'a'])
    expect(harness.released.map((item) => item.kind)).toEqual(['failed', 'failed', 'completed'])
    expect(new Set(harness.sent.map((item) => item.request.requestId)).size).toEqual(3)
  })

  it('does not retry a lookup after its deadline, and bounds the number of attempts', async () => {
    const late = await harness.start()
    mock.timers.tick(10_000)
    harness.sent[0]!.fail(reset)
    expect(await late()).toEqual('reset unknown 502')
    expect(harness.sent.length).toEqual(1)
    const outcome = await harness.start()
    for (let attempt = 0; attempt < 10; attempt++) {
      harness.sent.at(-1)!.fail(reset)
      await harness.flush()
    }
    expect([(await outcome()).split(' ')[1], harness.sent.length <= 5]).toEqual(['unknown', true])
  })

  it('reports not_run only if no attempt sent a byte', async () => {
    const refusedFirst = await harness.start()
    harness.admissionError = { kind: 'queue_full', message: '', retryAfterMs: 70 }
    harness.sent[0]!.fail(refused)
    expect(await refusedFirst()).toEqual('queue_full not_run 429')
    harness.admissionError = undefined
    const resetFirst = await harness.start()
    harness.admissionError = { kind: 'request_blocked', message: '' }
    harness.sent[1]!.fail(reset)
    expect(await resetFirst()).toEqual('request_blocked unknown 422')
  })

  it('returns an error of the service as the response, and does not measure its duration', async () => {
    const outcome = await harness.start()
    harness.sent[0]!.respond('broken', 503)
    expect(await outcome()).toEqual('broken')
    expect([harness.sent.length, harness.released[0]!.kind]).toEqual([1, 'cancelled'])
  })

  it('hedges on another upstream after the 95th percentile and aborts the slower attempt', async () => {
    await harness.warmUp(40)
    const outcome = await harness.start()
    mock.timers.tick(9)
    await harness.flush()
    expect(harness.sent.length).toEqual(1)
    mock.timers.tick(2)
    await harness.flush()
    expect(harness.sent.map((item) => item.address)).toEqual(['a', 'b'])
    harness.sent[1]!.respond('hedge')
    expect(await outcome()).toEqual('hedge')
    await harness.flush()
    expect(harness.sent[0]!.signal.aborted).toEqual(true)
    expect(harness.released.map((item) => item.kind)).toEqual(['completed', 'cancelled'])
  })

  // Guards against lookups that run twice although their service has hedging switched off.
  it('does not hedge when the service has hedging switched off', async () => {
    harness = new ForwarderHarness((ms) => mock.timers.tick(ms), false)
    await harness.warmUp(40)
    const outcome = await harness.start()
    mock.timers.tick(1000)
    await harness.flush()
    harness.sent[0]!.respond('x')
    await outcome()
    expect(harness.sent.length).toEqual(1)
  })

  it('does not hedge a suspect request', async () => {
    await harness.warmUp(40)
    harness.isSuspected = true
    const outcome = await harness.start()
    mock.timers.tick(1000)
    await harness.flush()
    harness.sent[0]!.respond('x')
    await outcome()
    expect(harness.sent.length).toEqual(1)
  })

  it('records the durations of aborted attempts, so that hedges do not lower the percentile', async () => {
    const latency = new LatencyWindow()
    for (let index = 0; index < 30; index++) latency.record(10)
    for (let index = 0; index < 2; index++) {
      const respond: Array<() => void> = []
      const runner = {
        run: (_request: CallRequest, options: AttemptOptions) => new Promise((resolve) => {
          options.onDispatched?.('a')
          const cancelled = { stage: 'upstream', upstreamId: 'a', error: { kind: 'cancelled', message: '', sent: true } }
          options.callSignal.addEventListener('abort', () => resolve(err(cancelled)))
          respond.push(() => resolve(ok({ status: 200, headers: {}, body: new Uint8Array() })))
        })
      } as unknown as AttemptRunner
      const request = { requestId: 'r', deadlineAtMs: performance.now() + 10_000, signal: new AbortController().signal } as CallRequest
      const outcome = new RetryableCall(runner, request, 'f', latency, () => true).run()
      mock.timers.tick(30)
      respond[1]!()
      await outcome
      await harness.flush()
    }
    mock.timers.tick(200)
    expect(latency.percentile(95)! > 20).toEqual(true)
  })

  it('waits for the hedge when the first attempt fails', async () => {
    await harness.warmUp(40)
    const outcome = await harness.start()
    mock.timers.tick(20)
    await harness.flush()
    harness.sent[0]!.fail(reset)
    await harness.flush()
    harness.sent[1]!.respond('hedge')
    expect(await outcome()).toEqual('hedge')
    expect(harness.sent.length).toEqual(2)
  })

  it('aborts all attempts when the caller disconnects', async () => {
    const controller = new AbortController()
    const outcome = await harness.start({ signal: controller.signal })
    controller.abort()
    expect(await outcome()).toEqual('cancelled unknown 499')
    expect(harness.sent.length).toEqual(1)
  })

  it('gives only equal requests of an organisation the same fingerprint', async () => {
    await harness.start()
    await harness.start({ requestId: 'other' })
    await harness.start({ path: '/y' })
    await harness.start({ body: new Uint8Array([2]) })
    await harness.start({ organisation: 'd' })
    const fingerprints = harness.admitted.map((item) => item.fingerprint)
    expect(fingerprints[0]).toEqual(fingerprints[1]!)
    expect(new Set(fingerprints).size).toEqual(4)
  })
})
