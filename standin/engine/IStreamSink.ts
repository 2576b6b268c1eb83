import type { VersionStamp } from './VersionStamp.js'

/** Where a request's tokens go. */
export interface IStreamSink {
  send (tokenIds: number[], finishReason: string | null, stamp: VersionStamp | undefined): void
  /** Ends the stream with its end mark. */
  complete (): void
  /** Ends the stream in good HTTP form but without its end mark. */
  truncate (): void
  /** Resets the connection. */
  reset (): void
}
