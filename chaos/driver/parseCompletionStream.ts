import type { Call } from '../checker/Call.js'

/** Extracts the text of a stream of completion events, or its error. A stream without a final `[DONE]` event was cut. */
export function parseCompletionStream (text: string): Pick<Call, 'end' | 'content'> & { outcome?: string } {
  let content = ''
  for (const event of text.split('\n\n')) {
    const data = event.split('\n').find(line => line.startsWith('data: '))?.slice('data: '.length)
    if (data === undefined) continue
    if (data === '[DONE]') return { end: 'answered', content }
    if (event.startsWith('event: error')) return { end: 'refused', outcome: JSON.parse(data).error.outcome, content: data }
    content += JSON.parse(data).choices[0]?.text ?? ''
  }
  return { end: 'cut', content }
}
