import { TOKEN_IDS_PER_VERSION } from './TOKEN_IDS_PER_VERSION.js'

/** Weight version that truly produced a token. */
export function versionOfToken (tokenId: number): number {
  return Math.floor(tokenId / TOKEN_IDS_PER_VERSION)
}
