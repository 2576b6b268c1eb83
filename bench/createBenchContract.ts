import { createCallWorkSections } from '../tools/harness/createCallWorkSections.js'
import { sha256Hex } from '../tools/harness/sha256Hex.js'
import { bearerTokens } from '../tools/harness/bearerTokens.js'

// High enough that the policies under measurement are the limit, not the contract.
const LIMITS = 'max_in_flight = 5000\nmax_queue = 5000\nkey_window_s = 600'

/** Contract text of an organisation with lookups, tickets, short and long generations and two trainers. */
export function createBenchContract (organisation: 'lin-shun' | 'almaskert', options: { share?: number, lookupDeadlineMs?: number, staleness?: number } = {}): string {
  const { share = 1, lookupDeadlineMs = 10_000, staleness = 1 } = options
  const trainer = `service = shaping-llm\nstaleness_versions = ${staleness}\nstep_deadline_s = 60\nweights_every_s = 4\nmax_tokens = 4096`
  return `[contract]
organisation = ${organisation}
operator = mei
[access]
token_sha256 = ${sha256Hex(bearerTokens[organisation])}
[limits]
share = ${share}
${LIMITS}
${createCallWorkSections(lookupDeadlineMs, 10_000)}
[work.hint]
service = shaping-llm
kind = generation
deadline_ms = 20000
max_tokens = 64
[work.advice]
service = shaping-llm
kind = generation
deadline_ms = 25000
size = long
max_tokens = 4096
[trainer.one]
${trainer}
[trainer.two]
${trainer}
`
}
