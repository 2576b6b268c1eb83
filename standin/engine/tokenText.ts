/** Text of a token. */
export function tokenText (tokenId: number): string {
  return `${tokenId} `
}
