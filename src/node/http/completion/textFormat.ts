import type { CompletionFormat } from './CompletionFormat.js'

/** Response format of `/v1/completions`. */
export const textFormat: CompletionFormat = {
  idPrefix: 'cmpl-',
  responseObject: 'text_completion',
  chunkObject: 'text_completion',
  toResponseChoice: (text, finishReason) => ({ index: 0, text, logprobs: null, finish_reason: finishReason }),
  toChunkChoice: (text, _isFirst, finishReason) => ({ index: 0, text, logprobs: null, finish_reason: finishReason })
}
