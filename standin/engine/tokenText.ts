/** Text that a token decodes to. */
export function tokenText (tokenId: number): string {
  return `${tokenId} `
}
