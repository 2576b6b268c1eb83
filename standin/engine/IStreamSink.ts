import type { VersionStamp } from './VersionStamp.js'

/** Receives the tokens that a request generates. */
export interface IStreamSink {
  send (tokenIds: number[], finishReason: string | null, stamp: VersionStamp | undefined): void
  /** Ends the stream with its `[DONE]` event. */
  complete (): void
  /** Ends the stream without its `[DONE]` event, as a well-formed HTTP response. */
  truncate (): void
  /** Resets the connection. */
  reset (): void
}
