import { createCallWorkSections } from './createCallWorkSections.js'
import { sha256Hex } from './sha256Hex.js'
import { bearerTokens } from './bearerTokens.js'

/** Contract text (INI) of lin-shun with lookups and tickets only. `limits` adds keys to its `[limits]` section. */
export function createCallContract (limits: Record<string, number> = {}, lookupDeadlineMs = 2000, ticketDeadlineMs = 10_000): string {
  return `
[contract]
organisation = lin-shun
operator = mei
[access]
token_sha256 = ${sha256Hex(bearerTokens['lin-shun'])}
[limits]
${Object.entries({ key_window_s: 600, ...limits }).map(([name, value]) => `${name} = ${value}`).join('\n')}
${createCallWorkSections(lookupDeadlineMs, ticketDeadlineMs)}
`
}
