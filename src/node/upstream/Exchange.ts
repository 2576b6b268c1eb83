import type { Dispatcher } from 'undici'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import type { UpstreamRequest } from '../../common/upstream/client/UpstreamRequest.js'
import { hasExplicitFraming } from './hasExplicitFraming.js'
import type { IExchangeSink } from './IExchangeSink.js'
import { isHttpStatus } from './isHttpStatus.js'
import { toResponseHeaders } from './toResponseHeaders.js'
import type { UpstreamProtocol } from './UpstreamProtocol.js'

/** Longest delay that setTimeout supports; a longer one fires at once. */
const MAX_TIMER_MS = 2_147_483_647
/** Responses with a status below 200 that may come before the actual one. */
const MAX_INFORMATIONAL = 8

/**
 * One request and its response on one connection. Errors are classified by whether undici has started to write
 * the request: before `onRequestStart` nothing has been written, after it the upstream may have run the request.
 */
export class Exchange implements Dispatcher.DispatchHandler {
  private _controller?: Dispatcher.DispatchController
  private _isFinished = false
  private _informationalCount = 0
  private readonly _timer: NodeJS.Timeout
  private readonly _onAbort = (): void => {
    this.fail({ kind: 'cancelled', message: 'request was cancelled', sent: this._isSent })
  }

  constructor (
    private readonly _request: UpstreamRequest,
    private readonly _signal: AbortSignal,
    private readonly _sink: IExchangeSink,
    private readonly _protocol: UpstreamProtocol
  ) {
    const delayMs = Math.max(0, _request.deadlineAtMs - performance.now())
    this._timer = setTimeout(() => this._onDeadline(), Math.min(delayMs, MAX_TIMER_MS))
    _signal.addEventListener('abort', this._onAbort)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (performance.now() >= this._request.deadlineAtMs && !this._isSent) {
      // After a pause of the process this callback may run before the deadline timer.
      this._onDeadline()
    }
    if (this._isFinished) {
      // The deadline passed or the caller cancelled while the connection was being opened; nothing is written.
      controller.abort(new Error('request already failed'))
      return
    }
    if (this._isSent) {
      // undici requeues a request in rare cases; a request must not be written twice.
      controller.abort(new Error('request was already sent'))
      this.fail({ kind: 'reset', message: 'connection closed before the response', sent: true })
      return
    }
    this._controller = controller
    this._sink.onConnected?.()
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, rawHeaders: Record<string, string | string[] | undefined>): void {
    if (this._isFinished) {
      return
    }
    if (!isHttpStatus(status)) {
      this.fail({ kind: 'invalid_status', message: `status ${status} is not valid in HTTP`, sent: true })
      return
    }
    if (status < 200) {
      this._onInformational()
      return
    }
    const echo = rawHeaders[this._protocol.requestIdHeader]
    if (echo !== undefined && echo !== this._request.requestId) {
      this.fail({ kind: 'mismatched', message: 'response carries the id of another request', sent: true })
      return
    }
    const isFramed = hasExplicitFraming(this._request.method, status, rawHeaders)
    if (!isFramed && !this._protocol.acceptsCloseDelimited) {
      this.fail({ kind: 'truncated', message: 'response is delimited only by the end of the connection', sent: true })
      return
    }
    this._failIfError(this._sink.onHead(status, toResponseHeaders(rawHeaders), isFramed))
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
    if (!this._isFinished) {
      this._failIfError(this._sink.onData(chunk, () => controller.pause(), () => controller.resume()))
    }
  }

  onResponseEnd (): void {
    if (this._finish()) {
      this._sink.onEnd()
    }
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (!this._isSent) {
      this.fail({ kind: 'connect_failed', message: describeError(error), sent: false })
    } else if (isStatusAssertion(error)) {
      this.fail({ kind: 'invalid_status', message: 'the HTTP client rejects the status of the response', sent: true })
    } else {
      this.fail({ kind: this._hasResponseHead(error) ? 'truncated' : 'reset', message: describeError(error), sent: true })
    }
  }

  /** Fails the exchange with an error and destroys its connection. Does nothing once the exchange has finished. */
  fail (error: UpstreamError): void {
    if (this._finish()) {
      this._controller?.abort(new Error(error.message))
      this._sink.onError(error)
    }
  }

  private _onInformational (): void {
    this._informationalCount += 1
    if (this._informationalCount <= MAX_INFORMATIONAL) return
    this.fail({ kind: 'reset', message: `more than ${MAX_INFORMATIONAL} informational responses`, sent: true })
  }

  private get _isSent (): boolean {
    return this._controller !== undefined
  }

  private _onDeadline (): void {
    if (this._isSent) {
      this.fail({ kind: 'timeout', message: 'no complete response before the deadline', sent: true })
    } else {
      this.fail({ kind: 'deadline_before_send', message: 'deadline passed before the request was sent', sent: false })
    }
  }

  private _hasResponseHead (error: Error): boolean {
    return this._controller?.rawHeaders != null || (error as { code?: string }).code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH'
  }

  private _failIfError (error: UpstreamError | undefined): void {
    if (error !== undefined) {
      this.fail(error)
    }
  }

  private _finish (): boolean {
    if (this._isFinished) {
      return false
    }
    this._isFinished = true
    clearTimeout(this._timer)
    this._signal.removeEventListener('abort', this._onAbort)
    return true
  }
}

function describeError (error: Error): string {
  const code = (error as { code?: string }).code
  return code === undefined ? error.message : `${code}: ${error.message}`
}

/** undici checks with an assertion that a status is at least 100, and that 101 follows a request for an upgrade. */
function isStatusAssertion (error: Error): boolean {
  return (error as { code?: string }).code === 'ERR_ASSERTION'
}
