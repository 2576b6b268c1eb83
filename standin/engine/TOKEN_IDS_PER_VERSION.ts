/** Token ids of version v are v times this number and up, so that a token tells its version. */
export const TOKEN_IDS_PER_VERSION = 1000
