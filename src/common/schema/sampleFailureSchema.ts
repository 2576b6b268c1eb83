import { z } from 'zod'

/**
 * Reason why a sample has no tokens: `request_blocked` if its prompt is rejected because it crashed engines,
 * `no_tokens` if the generation finished normally without a token.
 */
export const sampleFailureSchema = z.enum(['request_blocked', 'no_tokens'])
