import { createCallWorkSections } from './createCallWorkSections.js'
import { sha256Hex } from './sha256Hex.js'
import { bearerTokens } from './bearerTokens.js'

/** Contract of Lin Shun for calls alone, with the given limits. */
export function createCallContract (limits: Record<string, number> = {}, lookupMs = 2000, ticketMs = 10_000): string {
  return `
[contract]
organisation = lin-shun
operator = mei
[access]
token_sha256 = ${sha256Hex(bearerTokens['lin-shun'])}
[limits]
${Object.entries({ key_window_s: 600, ...limits }).map(([name, value]) => `${name} = ${value}`).join('\n')}
${createCallWorkSections(lookupMs, ticketMs)}
`
}
