import { z } from 'zod'

/**
 * Why an index has no tokens: `request_blocked` when its prompt is refused because it crashed engines,
 * `no_tokens` when the generation ended regularly without a token.
 */
export const sampleFailureSchema = z.enum(['request_blocked', 'no_tokens'])
