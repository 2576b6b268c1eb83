/** Generation request in the form that both endpoints share. */
export interface GenerationInput {
  service: string
  prompt: string
  maxTokens?: number
  isStream: boolean
  includeUsage: boolean
  parameters: Record<string, unknown>
}
