import { retryBackoffMs } from '../policy/retryBackoffMs.js'
import type { EngineRunOutcome } from './EngineRunOutcome.js'
import type { ItemRun } from './ItemRun.js'

/** Back-off before an item that an engine did not run, or reported as failed, is retried. */
const REFUSED_BACKOFF_MS = 60
/** After failures at this many engines an item may return to the earlier ones. */
const MAX_DEPRIORITISED = 3

/** Sets when and where an item may be retried after a run that did not complete it. */
export function deferItem ({ state, engine, eventCount, isCancelled }: ItemRun, outcome: EngineRunOutcome): void {
  state.failuresWithoutOutput = outcome.kind === 'broken' && eventCount === 0 && !isCancelled ? state.failuresWithoutOutput + 1 : 0
  state.notBeforeMs = performance.now() + (outcome.kind === 'broken' ? retryBackoffMs(state.failuresWithoutOutput) : REFUSED_BACKOFF_MS)
  if (outcome.kind === 'not_run' && outcome.reason === 'cancelled') return
  if (state.deprioritisedUpstreams.size >= MAX_DEPRIORITISED) state.deprioritisedUpstreams.clear()
  state.deprioritisedUpstreams.add(engine.member.id)
}
