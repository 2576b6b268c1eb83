import type { CompletionFormat } from './CompletionFormat.js'

/** Response format of `/v1/chat/completions`. */
export const chatFormat: CompletionFormat = {
  idPrefix: 'chatcmpl-',
  responseObject: 'chat.completion',
  chunkObject: 'chat.completion.chunk',
  toResponseChoice: (text, finishReason) => ({ index: 0, message: { role: 'assistant', content: text }, logprobs: null, finish_reason: finishReason }),
  toChunkChoice: (text, isFirst, finishReason) => ({
    index: 0,
    delta: { ...(isFirst ? { role: 'assistant' } : {}), content: text },
    logprobs: null,
    finish_reason: finishReason
  })
}
