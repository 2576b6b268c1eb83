/** Number of tokens in a prompt, where each word counts as one token. */
export function countTokens (prompt: string): number {
  return prompt.split(/\s+/).length
}
