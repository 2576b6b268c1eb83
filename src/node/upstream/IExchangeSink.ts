import type { UpstreamError } from '../../common/upstream/UpstreamError.js'

/** Receives the parts of one answer. A returned error ends the exchange and its connection. */
export interface IExchangeSink {
  onHead (status: number, headers: Record<string, string>): UpstreamError | undefined
  /** `pause` stops reading from the connection until `resume` is called. */
  onData (chunk: Uint8Array, pause: () => void, resume: () => void): UpstreamError | undefined
  onEnd (): void
  onError (error: UpstreamError): void
}
