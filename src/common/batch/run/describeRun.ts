import type { EngineRunOutcome } from './EngineRunOutcome.js'
import type { ItemRun } from './ItemRun.js'

/** State of the sending of bodies when a run ends. */
interface SendState {
  /** Bodies of all runs without a response. */
  unansweredBytes: number
  /** Rate of this host's link, as estimated. */
  linkBytesPerMs: number
}

/** Log fields for the end of a run. How its body was sent is described only if it had no event. */
export function describeRun (run: ItemRun, outcome: EngineRunOutcome, readSendState: () => SendState): Record<string, unknown> {
  return {
    batch: run.batch.spec.id,
    item: run.state.item.id,
    upstream: run.engine.member.id,
    outcome: outcome.kind,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    cancelled: run.cancelReason,
    waiting: run.waitsFor,
    ...run.eventCount === 0 && describeSending(run, readSendState()),
    events: run.state.progress.events.length,
    hint_tokens: run.state.item.lengthHintTokens,
    pace_ms: Math.round(run.eventIntervalMs ?? 0),
    duration_ms: Math.round(run.durationMs)
  }
}

function describeSending (run: ItemRun, { unansweredBytes, linkBytesPerMs }: SendState): Record<string, unknown> {
  return {
    connected_ms: round(run.connectedAfterMs),
    sent_ms: round(run.sentAfterMs),
    responded_ms: round(run.respondedAfterMs),
    body_bytes: run.state.bodyBytes,
    unanswered_bytes: unansweredBytes,
    link_bytes_per_s: Math.round(linkBytesPerMs * 1000)
  }
}

function round (durationMs: number | undefined): number | undefined {
  return durationMs === undefined ? undefined : Math.round(durationMs)
}
