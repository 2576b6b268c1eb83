import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Dispatcher } from 'undici'
import type { IExchangeSink } from './IExchangeSink.js'
import { defaultUpstreamProtocol } from './defaultUpstreamProtocol.js'
import { Exchange } from './Exchange.js'

describe('Exchange', () => {
  let outcomes: string[]
  let aborts: number

  const controller = { abort: () => { aborts++ } } as unknown as Dispatcher.DispatchController
  const sink: IExchangeSink = {
    onHead: () => undefined,
    onData: () => undefined,
    onEnd: () => undefined,
    onError: (error) => { outcomes.push(`${error.kind} ${error.sent}`) }
  }

  function create (deadlineInMs: number): Exchange {
    outcomes = []
    aborts = 0
    const request = { requestId: 'a', method: 'GET', path: '/', headers: {}, deadlineAtMs: performance.now() + deadlineInMs }
    return new Exchange(request, new AbortController().signal, sink, defaultUpstreamProtocol)
  }

  it('writes nothing when the process was paused beyond the deadline while it connected', () => {
    const exchange = create(5)
    const untilMs = performance.now() + 10
    while (performance.now() < untilMs) {
      // Blocks the event loop, so that the timer of the deadline cannot run.
    }
    exchange.onRequestStart(controller)
    expect([outcomes, aborts]).toEqual([['deadline_before_send false'], 1])
  })

  it('refuses to write a request a second time', () => {
    const exchange = create(1000)
    exchange.onRequestStart(controller)
    exchange.onRequestStart(controller)
    expect([outcomes[0], aborts > 0]).toEqual(['reset true', true])
  })

  it('takes an error before the request was started for one before sending', () => {
    const exchange = create(1000)
    exchange.onResponseError(controller, new Error('any'))
    expect(outcomes).toEqual(['connect_failed false'])
  })
})
