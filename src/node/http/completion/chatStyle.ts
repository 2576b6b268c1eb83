import type { CompletionStyle } from './CompletionStyle.js'

/** Responses of `/v1/chat/completions`. */
export const chatStyle: CompletionStyle = {
  idPrefix: 'chatcmpl-',
  wholeObject: 'chat.completion',
  chunkObject: 'chat.completion.chunk',
  wholeChoice: (text, finishReason) => ({ index: 0, message: { role: 'assistant', content: text }, logprobs: null, finish_reason: finishReason }),
  chunkChoice: (text, isFirst, finishReason) => ({
    index: 0,
    delta: { ...(isFirst ? { role: 'assistant' } : {}), content: text },
    logprobs: null,
    finish_reason: finishReason
  })
}
