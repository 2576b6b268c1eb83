/** Tokens (words of the prompt) in a block of the prefix cache. */
export const PREFIX_BLOCK_TOKENS = 16
