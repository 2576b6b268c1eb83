import { err, ok, type Result } from 'neverthrow'
import type { UpstreamResponse } from '../../common/upstream/client/UpstreamResponse.js'
import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'
import { ByteAccumulator } from '../../common/kernel/ByteAccumulator.js'
import type { IExchangeSink } from './IExchangeSink.js'
import type { SharedBudget } from '../../common/kernel/SharedBudget.js'

/** Buffers a complete response, with limits on its body and on all bodies of the client. */
export class BufferedResponseSink implements IExchangeSink {
  private readonly _body: ByteAccumulator
  private _status = 0
  private _headers: Record<string, string> = {}

  constructor (
    private readonly _maxBodyBytes: number,
    private readonly _budget: SharedBudget,
    private readonly _settle: (result: Result<UpstreamResponse, UpstreamError>) => void,
    private readonly _fail: (error: UpstreamError) => void
  ) {
    this._body = new ByteAccumulator(_maxBodyBytes)
  }

  /** Fails the response, which releases its bytes. */
  fail (message: string): void {
    this._fail({ kind: 'truncated', message: `response bodies: ${message}`, sent: true })
  }

  onHead (status: number, headers: Record<string, string>): UpstreamError | undefined {
    this._status = status
    this._headers = headers
    return undefined
  }

  onData (chunk: Uint8Array): UpstreamError | undefined {
    if (this._body.length + chunk.length > this._maxBodyBytes) {
      return { kind: 'truncated', message: `response body exceeds ${this._maxBodyBytes} bytes`, sent: true }
    }
    const heldBytes = this._body.capacityBytes
    this._body.append(chunk)
    this._budget.add(this, this._body.capacityBytes - heldBytes)
    return undefined
  }

  onEnd (): void {
    this._budget.release(this)
    this._settle(ok({ status: this._status, headers: this._headers, body: this._body.take() }))
  }

  onError (error: UpstreamError): void {
    this._budget.release(this)
    this._body.release()
    this._settle(err(error))
  }
}
