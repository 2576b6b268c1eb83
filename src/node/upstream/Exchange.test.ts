import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Dispatcher } from 'undici'
import type { IExchangeSink } from './IExchangeSink.js'
import { defaultUpstreamProtocol } from './defaultUpstreamProtocol.js'
import { Exchange } from './Exchange.js'

describe('Exchange', () => {
  let errors: string[]
  let abortCount: number

  const controller = { abort: () => { abortCount++ } } as unknown as Dispatcher.DispatchController
  const sink: IExchangeSink = {
    onHead: () => undefined,
    onData: () => undefined,
    onEnd: () => undefined,
    onError: (error) => { errors.push(`${error.kind} ${error.sent}`) }
  }

  function create (timeoutMs: number): Exchange {
    errors = []
    abortCount = 0
    const request = { requestId: 'a', method: 'GET', path: '/', headers: {}, deadlineAtMs: performance.now() + timeoutMs }
    return new Exchange(request, new AbortController().signal, sink, defaultUpstreamProtocol)
  }

  it('writes nothing when the process was paused past the deadline while connecting', () => {
    const exchange = create(5)
    const resumeAtMs = performance.now() + 10
    while (performance.now() < resumeAtMs) {
      // Blocks the event loop, so that the deadline timer cannot run.
    }
    exchange.onRequestStart(controller)
    expect([errors, abortCount]).toEqual([['deadline_before_send false'], 1])
  })

  it('rejects to write a request a second time', () => {
    const exchange = create(1000)
    exchange.onRequestStart(controller)
    exchange.onRequestStart(controller)
    expect([errors[0], abortCount > 0]).toEqual(['reset true', true])
  })

  // Guards against a status that the client library lets through: taken as an answer, or as one that comes before the answer.
  it('fails at a status that is not valid in HTTP, whatever the client library accepts', () => {
    for (const status of [0, 1, 99, 600, 999]) {
      const exchange = create(1000)
      exchange.onRequestStart(controller)
      exchange.onResponseStart(controller, status, {})
      expect([status, errors, abortCount]).toEqual([status, ['invalid_status true'], 1])
    }
  })

  it('reports an error before the request starts as not sent', () => {
    const exchange = create(1000)
    exchange.onResponseError(controller, new Error('any'))
    expect(errors).toEqual(['connect_failed false'])
  })
})
