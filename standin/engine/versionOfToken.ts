import { TOKEN_IDS_PER_VERSION } from './TOKEN_IDS_PER_VERSION.js'

/** Weight version that actually generated a token, derived from the token id. */
export function versionOfToken (tokenId: number): number {
  return Math.floor(tokenId / TOKEN_IDS_PER_VERSION)
}
