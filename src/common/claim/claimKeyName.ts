import type { ClaimKey } from './ClaimKey.js'

/** Map key of a claim key; customers and services contain no slash. */
export function claimKeyName ({ customer, service, key }: ClaimKey): string {
  return `${customer}/${service}/${key}`
}
