import type { Scenario } from './Scenario.js'
import { heavyTail } from './scenarios/heavyTail.js'
import { mixedSpeed } from './scenarios/mixedSpeed.js'
import { overhead } from './scenarios/overhead.js'
import { overload } from './scenarios/overload.js'
import { prefix } from './scenarios/prefix.js'
import { restart } from './scenarios/restart.js'
import { slowed } from './scenarios/slowed.js'
import { unevenEntries } from './scenarios/unevenEntries.js'
import { weights } from './scenarios/weights.js'

/** All scenarios by name. */
export const scenarios: Record<string, Scenario> = {
  'mixed-speed': mixedSpeed,
  'uneven-entries': unevenEntries,
  'heavy-tail': heavyTail,
  slowed,
  overload,
  weights,
  prefix,
  restart,
  overhead
}
