import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'

/** Receives the parts of one answer. A returned error ends the exchange and its connection. */
export interface IExchangeSink {
  /** `isFramed` is false when only the end of the connection marks the end of the body. */
  onHead (status: number, headers: Record<string, string>, isFramed: boolean): UpstreamError | undefined
  /** `pause` stops reading from the connection until `resume` is called. */
  onData (chunk: Uint8Array, pause: () => void, resume: () => void): UpstreamError | undefined
  onEnd (): void
  onError (error: UpstreamError): void
}
