/** Text of a minimal valid contract; by default the token digest is derived from the organisation. */
export function contractText (organisation: string, share: number, digest = organisation.charCodeAt(0).toString(16).padStart(64, '0')): string {
  return `[contract]
organisation = ${organisation}
operator = mei

[access]
token_sha256 = ${digest}

[limits]
share = ${share}
key_window_s = 10
`
}
