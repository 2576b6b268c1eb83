import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { admissionId } from '../admission/admissionId.js'
import type { AdmissionError } from '../admission/AdmissionError.js'
import type { IAdmission } from '../admission/IAdmission.js'
import type { ILogger } from '../metrics/ILogger.js'
import type { IMetrics } from '../metrics/IMetrics.js'
import { loggerId } from '../metrics/loggerId.js'
import { metricsId } from '../metrics/metricsId.js'
import type { IUpstreamClient } from '../upstream/client/IUpstreamClient.js'
import type { IUpstreamTable } from '../upstream/IUpstreamTable.js'
import { upstreamClientId } from '../upstream/client/upstreamClientId.js'
import { upstreamTableId } from '../upstream/upstreamTableId.js'
import type { AttemptEnd } from './AttemptEnd.js'
import { GenerationAttempt } from './GenerationAttempt.js'
import type { GenerationChunk } from './GenerationChunk.js'
import type { GenerationError } from './GenerationError.js'
import type { GenerationRequest } from './GenerationRequest.js'
import type { IGenerator } from './IGenerator.js'
import type { EntrySettings } from '../settings/EntrySettings.js'
import { entrySettingsId } from '../settings/entrySettingsId.js'
import type { IHash } from '../hash/IHash.js'
import type { IMovePolicy } from './IMovePolicy.js'
import { MoveBudget } from './MoveBudget.js'
import { NoMoves } from './NoMoves.js'
import { SlowStreamDetector } from './SlowStreamDetector.js'
import { toGenerationError } from './toGenerationError.js'
import { hashId } from '../hash/hashId.js'
import { withTimeout } from './withTimeout.js'

// Prompts with the same prefix share cached KV blocks on an engine.
const PREFIX_CHARACTERS = 1024
// Consecutive attempts without a new token, so that a request that fails on every engine is not retried forever.
const MAX_FAILURES = 5
const RETRY_BACKOFF_BASE_MS = 100

type ChunkResult = Result<GenerationChunk, GenerationError>

interface GenerationState {
  tokens: number[]
  /** Ids of engines that have already been used for this request. */
  excluded: Set<string>
  /** True if any engine may have received the request. */
  wasSent: boolean
  /** Consecutive failures without a new token. */
  failures: number
  attempts: number
}

/** Runs generations on engines and resumes them on another engine when a stream breaks, stalls or becomes slow. */
export class Generator implements IGenerator {
  private readonly _movePolicy: IMovePolicy
  private readonly _noMoves = new NoMoves()

  constructor (
    @admissionId private readonly _admission: IAdmission,
    @upstreamClientId private readonly _client: IUpstreamClient,
    @upstreamTableId private readonly _table: IUpstreamTable,
    @hashId private readonly _hasher: IHash,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics,
    @entrySettingsId private readonly _settings: EntrySettings
  ) {
    this._movePolicy = new MoveBudget(_table)
  }

  async * generate (request: GenerationRequest): AsyncGenerator<ChunkResult> {
    const state: GenerationState = { tokens: [], excluded: new Set(), wasSent: false, failures: 0, attempts: 0 }
    this._movePolicyFor(request.service).onRequest()
    for (;;) {
      const attempt = await this._startAttempt(request, state)
      if (attempt === undefined) continue
      if (attempt.isErr()) {
        yield err(attempt.error)
        return
      }
      const tokensBefore = state.tokens.length
      let end: AttemptEnd
      try {
        end = yield * attempt.value.run()
      } finally {
        state.wasSent ||= attempt.value.wasSent
      }
      if (end.kind === 'done') return
      if (end.kind === 'slow') {
        this._metrics.count('generations_moved_total', { service: request.service })
        continue
      }
      if (state.tokens.length > tokensBefore) state.failures = 0
      state.failures++
      const error = this._toError(request, state, end)
      if (error !== undefined) {
        yield err(error)
        return
      }
      if (state.tokens.length >= request.maxTokens) {
        yield ok({ text: '', tokenIds: [], finishReason: 'length' })
        return
      }
    }
  }

  /** Acquires a slot on an engine; undefined if acquiring should be retried. */
  private async _startAttempt (request: GenerationRequest, state: GenerationState): Promise<Result<GenerationAttempt, GenerationError> | undefined> {
    const outcome = state.wasSent ? 'unknown' : 'not_run'
    if (request.signal.aborted) return err({ kind: 'caller_gone', message: 'the caller disconnected', outcome, status: 499 })
    if (performance.now() >= request.deadlineAtMs) return err({ kind: 'deadline_exceeded', message: 'the deadline passed', outcome, status: 504 })
    const { organisation, service, workClass, size, model, prompt, maxTokens, parameters, deadlineAtMs, signal } = request
    // The samples of a group differ only in the seed, so a poison prompt must get the same fingerprint for all of them.
    const fingerprintParts = [organisation, service, model, prompt, maxTokens, { ...parameters, seed: undefined }]
    const acquired = await this._admission.acquire({
      organisation,
      service,
      workClass,
      size,
      units: maxTokens - state.tokens.length,
      prefixHash: this._hasher.hash64(`${model}\n${prompt.slice(0, PREFIX_CHARACTERS)}`).toString(16),
      fingerprint: this._hasher.hash64(JSON.stringify(fingerprintParts)).toString(16),
      excluded: new Set(state.excluded),
      deadlineAtMs,
      signal
    })
    if (acquired.isErr()) {
      if (await this._retryAfterBackoff(acquired.error, request, state)) return undefined
      return err(toGenerationError(acquired.error, state.wasSent))
    }
    const slot = acquired.value
    const requestId = state.attempts === 0 ? request.requestId : `${request.requestId}.${state.attempts}`
    state.attempts++
    const hasAlternative = (): boolean => this._table.available(service)
      .some(({ id }) => id !== slot.upstream.id && !state.excluded.has(id))
    // Whatever ends this attempt, the request is not sent to the same engine again unless no other is left.
    state.excluded.add(slot.upstream.id)
    const slowDetector = new SlowStreamDetector(this._movePolicyFor(service), slot.upstream, state.excluded)
    return ok(new GenerationAttempt(request, slot, this._client, this._table, state.tokens, requestId, hasAlternative, slowDetector))
  }

  private _movePolicyFor (service: string): IMovePolicy {
    const isEnabled = this._settings.services.find(({ name }) => name === service)?.hedging ?? true
    return isEnabled ? this._movePolicy : this._noMoves
  }

  /** If only engines that failed this request are left, waits with exponential back-off and allows them again. */
  private async _retryAfterBackoff (error: AdmissionError, request: GenerationRequest, state: GenerationState): Promise<boolean> {
    if (error.kind !== 'no_upstream' || state.attempts === 0 || state.failures >= MAX_FAILURES) return false
    state.failures++
    state.excluded.clear()
    const backoffMs = RETRY_BACKOFF_BASE_MS * 2 ** state.failures * (0.5 + Math.random() / 2)
    await withTimeout(new Promise<never>(() => {}), Math.min(backoffMs, request.deadlineAtMs - performance.now()), request.signal)
    return true
  }

  /** The error that ends the generation; undefined if it is to be resumed on another engine. */
  private _toError (request: GenerationRequest, state: GenerationState, end: AttemptEnd): GenerationError | undefined {
    const outcome = state.wasSent ? 'unknown' : 'not_run'
    const { message } = end
    switch (end.kind) {
      case 'cancelled': return { kind: 'caller_gone', message, outcome, status: 499 }
      case 'deadline': return { kind: 'deadline_exceeded', message, outcome, status: 504 }
      case 'rejected': return { kind: 'engine_refused', message, outcome, status: end.status ?? 502 }
    }
    this._metrics.count('generation_attempts_broken', { service: request.service })
    this._logger.warn({
      request: request.requestId,
      organisation: request.organisation,
      tokens: state.tokens.length,
      failures: state.failures,
      reason: message
    }, 'generation_attempt_broken')
    if (state.failures < MAX_FAILURES) return undefined
    return { kind: end.kind === 'origin_unknown' ? end.kind : 'engine_failed', message, outcome, status: 502 }
  }
}
