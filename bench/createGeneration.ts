import type { Arrival } from './Arrival.js'

/** A generation whose prompt fixes its length; engines do not tell the length ahead. */
export function createGeneration (label: string, prompt: string, maxTokens: number): Omit<Arrival, 'atMs'> {
  const body = JSON.stringify({ model: 'shaping-llm', prompt, max_tokens: maxTokens, stream: true })
  return { label, organisation: 'lin-shun', method: 'POST', path: '/v1/completions', headers: { 'content-type': 'application/json' }, body, isStream: true }
}
