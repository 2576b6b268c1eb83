/** A generation as both endpoints ask for it. */
export interface GenerationInput {
  service: string
  prompt: string
  maxTokens?: number
  isStream: boolean
  includeUsage: boolean
  parameters: Record<string, unknown>
}
