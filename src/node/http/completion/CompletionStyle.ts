/** How an endpoint writes its responses. */
export interface CompletionStyle {
  idPrefix: string
  wholeObject: string
  chunkObject: string
  wholeChoice (text: string, finishReason: string): Record<string, unknown>
  chunkChoice (text: string, isFirst: boolean, finishReason: string | null): Record<string, unknown>
}
