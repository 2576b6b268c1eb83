import type { ClaimKey } from './ClaimKey.js'

/** Map key of a claim key; organisations and services contain no slash. */
export function claimKeyName ({ organisation, service, key }: ClaimKey): string {
  return `${organisation}/${service}/${key}`
}
