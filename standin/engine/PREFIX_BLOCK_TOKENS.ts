/** Tokens (words of the prompt) per block of the prefix cache. */
export const PREFIX_BLOCK_TOKENS = 16
