import type { ClaimKey } from './ClaimKey.js'

/** Formats a claim key as a string, for use in maps. Unambiguous because organisations and services contain no slash. */
export function claimKeyName ({ organisation, service, key }: ClaimKey): string {
  return `${organisation}/${service}/${key}`
}
