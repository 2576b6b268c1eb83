import type { Arrival } from './Arrival.js'

/** Creates a generation whose prompt determines the output length; the engines do not report that length in advance. */
export function createGeneration (label: string, prompt: string, maxTokens: number): Omit<Arrival, 'atMs'> {
  const body = JSON.stringify({ model: 'shaping-llm', prompt, max_tokens: maxTokens, stream: true })
  return { label, organisation: 'lin-shun', method: 'POST', path: '/v1/completions', headers: { 'content-type': 'application/json' }, body, isStream: true }
}
