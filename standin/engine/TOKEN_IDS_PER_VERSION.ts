/** Number of token ids per version. The ids of version v start at v times this number, so an id identifies its version. */
export const TOKEN_IDS_PER_VERSION = 1000
