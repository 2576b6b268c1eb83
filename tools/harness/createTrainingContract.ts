import { sha256Hex } from './sha256Hex.js'
import { bearerTokens } from './bearerTokens.js'

/** Contract of lin-shun with the trainer `brim` on the service `shaping-llm`; `bound` is its staleness bound. */
export function createTrainingContract (bound: number, keys: Record<string, string | number> = {}): string {
  const lines = Object.entries({ max_in_flight: 64, key_window_s: 3, ...keys }).map(([key, value]) => `${key} = ${value}`)
  return `
[contract]
organisation = lin-shun
operator = mei

[access]
token_sha256 = ${sha256Hex(bearerTokens['lin-shun'])}

[limits]
${lines.join('\n')}

[trainer.brim]
service = shaping-llm
staleness_versions = ${bound}
step_deadline_s = 60
weights_every_s = 60
`
}
