/** Size of the range of token ids of each version. Version v uses the ids from v times this size, so a token id identifies its version. */
export const TOKEN_IDS_PER_VERSION = 1000
