/** Minimal valid contract; the digest is derived from the customer unless it is given. */
export function contractText (customer: string, share: number, digest = customer.charCodeAt(0).toString(16).padStart(64, '0')): string {
  return `[contract]
customer = ${customer}
operator = mei

[access]
token_sha256 = ${digest}

[limits]
share = ${share}
key_window_s = 10
`
}
