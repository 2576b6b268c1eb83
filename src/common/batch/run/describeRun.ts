import type { EngineRunOutcome } from './EngineRunOutcome.js'
import type { ItemRun } from './ItemRun.js'

/** Fields of the log line on the end of a run. */
export function describeRun (run: ItemRun, end: EngineRunOutcome): Record<string, unknown> {
  return {
    batch: run.batch.spec.id,
    item: run.state.item.id,
    upstream: run.engine.member.id,
    outcome: end.kind,
    reason: 'reason' in end ? end.reason : undefined,
    cancelled: run.cancelReason,
    events: run.state.progress.events.length,
    hint_tokens: run.state.item.lengthHintTokens,
    pace_ms: Math.round(run.eventIntervalMs ?? 0),
    duration_ms: Math.round(run.durationMs)
  }
}
