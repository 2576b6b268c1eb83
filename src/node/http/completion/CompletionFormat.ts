/** Response format of a generation endpoint. */
export interface CompletionFormat {
  idPrefix: string
  /** Value of `object` in a response that is not streamed. */
  responseObject: string
  /** Value of `object` in an event of a stream. */
  chunkObject: string
  toResponseChoice (text: string, finishReason: string): Record<string, unknown>
  toChunkChoice (text: string, isFirst: boolean, finishReason: string | null): Record<string, unknown>
}
