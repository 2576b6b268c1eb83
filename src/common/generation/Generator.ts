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

// Requests with the same first part of the prompt share cached KV blocks on an engine.
const PREFIX_CHARACTERS = 1024
// Consecutive attempts without a new token; a request that fails everywhere must not circulate.
const MAX_FAILURES = 5
const RETRY_BASE_MS = 100

type Item = Result<GenerationChunk, GenerationError>

interface Progress {
  tokens: number[]
  excluded: Set<string>
  wasSent: boolean
  /** Consecutive failures without a new token. */
  failures: number
  attempts: number
}

/** Runs generations on engines and resumes them elsewhere when a stream breaks, stalls or becomes slow. */
export class Generator implements IGenerator {
  private readonly _moves: IMovePolicy
  private readonly _noMoves = new NoMoves()

  constructor (
    @admissionId private readonly _admission: IAdmission,
    @upstreamClientId private readonly _client: IUpstreamClient,
    @upstreamTableId private readonly _table: IUpstreamTable,
    @hashId private readonly _hash: IHash,
    @loggerId private readonly _logger: ILogger,
    @metricsId private readonly _metrics: IMetrics,
    @entrySettingsId private readonly _settings: EntrySettings
  ) {
    this._moves = new MoveBudget(_table)
  }

  async * generate (request: GenerationRequest): AsyncGenerator<Item> {
    const progress: Progress = { tokens: [], excluded: new Set(), wasSent: false, failures: 0, attempts: 0 }
    this._movesOf(request.service).onRequest()
    for (;;) {
      const attempt = await this._begin(request, progress)
      if (attempt === undefined) continue
      if (attempt.isErr()) {
        yield err(attempt.error)
        return
      }
      const tokensBefore = progress.tokens.length
      let end: AttemptEnd
      try {
        end = yield * attempt.value.run()
      } finally {
        progress.wasSent ||= attempt.value.wasSent
      }
      if (end.kind === 'done') return
      if (end.kind === 'slow') {
        this._metrics.count('generations_moved_total', { service: request.service })
        continue
      }
      if (progress.tokens.length > tokensBefore) progress.failures = 0
      progress.failures++
      const failure = this._failure(request, progress, end)
      if (failure !== undefined) {
        yield err(failure)
        return
      }
      if (progress.tokens.length >= request.maxTokens) {
        yield ok({ text: '', tokenIds: [], finishReason: 'length' })
        return
      }
    }
  }

  /** Gets a place on an engine; undefined means that another try is due. */
  private async _begin (request: GenerationRequest, progress: Progress): Promise<Result<GenerationAttempt, GenerationError> | undefined> {
    const outcome = progress.wasSent ? 'unknown' : 'not_run'
    if (request.signal.aborted) return err({ kind: 'caller_gone', message: 'the caller went away', outcome, status: 499 })
    if (performance.now() >= request.deadlineAtMs) return err({ kind: 'deadline_exceeded', message: 'the deadline passed', outcome, status: 504 })
    const { organisation, service, workClass, size, model, prompt, maxTokens, parameters, deadlineAtMs, signal } = request
    // The samples of a group differ in the seed only and crash an engine alike.
    const fingerprint = [organisation, service, model, prompt, maxTokens, { ...parameters, seed: undefined }]
    const acquired = await this._admission.acquire({
      organisation,
      service,
      workClass,
      size,
      units: maxTokens - progress.tokens.length,
      prefixHash: this._hash.hash64(`${model}\n${prompt.slice(0, PREFIX_CHARACTERS)}`).toString(16),
      fingerprint: this._hash.hash64(JSON.stringify(fingerprint)).toString(16),
      excluded: new Set(progress.excluded),
      deadlineAtMs,
      signal
    })
    if (acquired.isErr()) {
      if (await this._mayTryAgain(acquired.error, request, progress)) return undefined
      return err(toGenerationError(acquired.error, progress.wasSent))
    }
    const slot = acquired.value
    const requestId = progress.attempts === 0 ? request.requestId : `${request.requestId}.${progress.attempts}`
    progress.attempts++
    const hasAlternative = (): boolean => this._table.available(service)
      .some(({ id }) => id !== slot.upstream.id && !progress.excluded.has(id))
    // An engine that failed this request is left out from now on, whatever the failure was.
    progress.excluded.add(slot.upstream.id)
    const slowness = new SlowStreamDetector(this._movesOf(service), slot.upstream, progress.excluded)
    return ok(new GenerationAttempt(request, slot, this._client, this._table, progress.tokens, requestId, hasAlternative, slowness))
  }

  private _movesOf (service: string): IMovePolicy {
    const isOn = this._settings.services.find(({ name }) => name === service)?.hedging ?? true
    return isOn ? this._moves : this._noMoves
  }

  /** When only engines that failed this request are left, they may be tried again after a pause. */
  private async _mayTryAgain (error: AdmissionError, request: GenerationRequest, progress: Progress): Promise<boolean> {
    if (error.kind !== 'no_upstream' || progress.attempts === 0 || progress.failures >= MAX_FAILURES) return false
    progress.failures++
    progress.excluded.clear()
    const pauseMs = RETRY_BASE_MS * 2 ** progress.failures * (0.5 + Math.random() / 2)
    await withTimeout(new Promise<never>(() => {}), Math.min(pauseMs, request.deadlineAtMs - performance.now()), request.signal)
    return true
  }

  /** The error that ends the generation, or undefined when it goes on elsewhere. */
  private _failure (request: GenerationRequest, progress: Progress, end: AttemptEnd): GenerationError | undefined {
    const outcome = progress.wasSent ? 'unknown' : 'not_run'
    const { message } = end
    switch (end.kind) {
      case 'cancelled': return { kind: 'caller_gone', message, outcome, status: 499 }
      case 'deadline': return { kind: 'deadline_exceeded', message, outcome, status: 504 }
      case 'refused': return { kind: 'engine_refused', message, outcome, status: end.status ?? 502 }
    }
    this._metrics.count('generation_attempts_broken', { service: request.service })
    this._logger.warn({
      request: request.requestId,
      organisation: request.organisation,
      tokens: progress.tokens.length,
      failures: progress.failures,
      reason: message
    }, 'generation_attempt_broken')
    if (progress.failures < MAX_FAILURES) return undefined
    return { kind: end.kind === 'origin_unknown' ? end.kind : 'engine_failed', message, outcome, status: 502 }
  }
}
