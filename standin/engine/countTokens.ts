/** Number of tokens of a prompt: one per word. */
export function countTokens (prompt: string): number {
  return prompt.split(/\s+/).length
}
