import { beforeEach, describe, it, mock } from 'node:test'
import { expect } from 'earl'
import { err, ok } from 'neverthrow'
import type { UpstreamError } from '../upstream/client/UpstreamError.js'
import type { ForwarderHarness } from './testing/ForwarderHarness.js'
import { useForwarderHarness } from './testing/useForwarderHarness.test.js'

const refused: UpstreamError = { kind: 'connect_failed', message: '', sent: false }
const reset: UpstreamError = { kind: 'reset', message: '', sent: true }

describe('AtMostOnceCall', () => {
  const currentHarness = useForwarderHarness()
  let harness: ForwarderHarness

  beforeEach(() => { harness = currentHarness() })

  it('sends an at-most-once call once and stores its response', async () => {
    await harness.warmUp(40)
    const outcome = await harness.start({}, 'never')
    mock.timers.tick(5000)
    await harness.flush()
    harness.sent[0]!.respond('done')
    expect(await outcome()).toEqual('done')
    expect([harness.sent.length, harness.settlements]).toEqual([1, ['complete false ZG9uZQ==']])
  })

  it('does not retry an at-most-once call after it was sent, and abandons its claim', async () => {
    const outcome = await harness.start({}, 'never')
    harness.sent[0]!.fail(reset)
    expect(await outcome()).toEqual('reset unknown 502')
    expect([harness.sent.length, harness.settlements]).toEqual([1, ['abandon']])
  })

  it('retries an at-most-once call on another upstream when the connection was refused', async () => {
    const outcome = await harness.start({}, 'never')
    harness.sent[0]!.fail(refused)
    await harness.flush()
    harness.sent[1]!.respond('done')
    expect(await outcome()).toEqual('done')
    expect(harness.sent.map((item) => item.address)).toEqual(['a', 'b'])
  })

  it('releases the claim when nothing was sent', async () => {
    harness.mayStart = false
    expect(await (await harness.start({}, 'never'))()).toEqual('deadline_unreachable not_run 503')
    harness.mayStart = true
    expect(await (await harness.start({ deadlineAtMs: performance.now() }, 'never'))()).toEqual('deadline_unreachable not_run 503')
    expect(await (await harness.start({ signal: AbortSignal.abort() }, 'never'))()).toEqual('deadline_unreachable not_run 503')
    harness.admissionError = { kind: 'queue_full', message: '', retryAfterMs: 50 }
    expect(await (await harness.start({}, 'never'))()).toEqual('queue_full not_run 429')
    expect([harness.sent.length, harness.settlements]).toEqual([0, ['release', 'release', 'release', 'release']])
  })

  it('completes an at-most-once call after its caller has disconnected, to respond to a repeat of the request', async () => {
    const controller = new AbortController()
    const outcome = await harness.start({ signal: controller.signal }, 'never')
    controller.abort()
    await harness.flush()
    // A drain that did not count the call would end the process before the result is recorded.
    expect(harness.forwarder.atMostOnceCallsInFlight).toEqual(1)
    harness.sent[0]!.respond('done')
    await outcome()
    expect(harness.forwarder.atMostOnceCallsInFlight).toEqual(0)
    expect(harness.settlements).toEqual(['complete false ZG9uZQ=='])
  })

  it('responds to a repeat from the log, or reports that the response was not kept', async () => {
    harness.claimResult = ok({ kind: 'completed', response: { status: 200, headers: {}, body_base64: 'ZG9uZQ==', body_omitted: false } })
    expect(await (await harness.start({}, 'never'))()).toEqual('done')
    harness.claimResult = ok({ kind: 'completed', response: { status: 200, headers: {}, body_base64: '', body_omitted: true } })
    expect(await (await harness.start({}, 'never'))()).toEqual('answer_not_kept unknown 409')
    harness.claimResult = err({ kind: 'claim_unavailable', message: '', outcome: 'not_run' })
    expect(await (await harness.start({}, 'never'))()).toEqual('claim_unavailable not_run 503')
    expect(await (await harness.start({ idempotencyKey: undefined }, 'never'))()).toEqual('idempotency_key_required not_run 400')
    expect(harness.sent.length).toEqual(0)
  })

  it('leaves a body over 64 KiB out of the log', async () => {
    const outcome = await harness.start({}, 'never')
    harness.sent[0]!.respond('x'.repeat(65_537))
    expect((await outcome()).length).toEqual(65_537)
    expect(harness.settlements).toEqual(['complete true '])
  })
})
