import type { UpstreamError } from '../../common/upstream/client/UpstreamError.js'

/** Receives the parts of one response. A returned error fails the exchange and closes its connection. */
export interface IExchangeSink {
  /** The connection is open, and the request is about to be written to it. */
  onConnected? (): void
  /** `hasExplicitFraming` is false when the body is delimited only by the end of the connection. */
  onHead (status: number, headers: Record<string, string>, hasExplicitFraming: boolean): UpstreamError | undefined
  /** `pause` stops reading from the connection until `resume` is called. */
  onData (chunk: Uint8Array, pause: () => void, resume: () => void): UpstreamError | undefined
  onEnd (): void
  onError (error: UpstreamError): void
}
