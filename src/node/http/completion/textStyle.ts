import type { CompletionStyle } from './CompletionStyle.js'

/** Responses of `/v1/completions`. */
export const textStyle: CompletionStyle = {
  idPrefix: 'cmpl-',
  wholeObject: 'text_completion',
  chunkObject: 'text_completion',
  wholeChoice: (text, finishReason) => ({ index: 0, text, logprobs: null, finish_reason: finishReason }),
  chunkChoice: (text, _isFirst, finishReason) => ({ index: 0, text, logprobs: null, finish_reason: finishReason })
}
