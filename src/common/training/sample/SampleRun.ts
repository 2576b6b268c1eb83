import type { IGenerator } from '../../generation/IGenerator.js'
import { OriginRanges } from '../../generation/OriginRanges.js'
import type { SampleFailure } from '../../schema/SampleFailure.js'
import type { ISampleScorer } from './ISampleScorer.js'
import type { SampleRunOutcome } from './SampleRunOutcome.js'
import type { SampleTask } from './SampleTask.js'
import { isStale } from '../step/isStale.js'

// A step past its deadline still needs its samples; each attempt then gets this share of the deadline.
const LATE_SHARE = 0.25

/** Generates and scores one sample; aborted when it is no longer needed or becomes stale. */
export class SampleRun {
  private readonly _controller = new AbortController()
  private readonly _origin = new OriginRanges()

  constructor (
    readonly task: SampleTask,
    private readonly _generator: IGenerator,
    private readonly _scorer: ISampleScorer,
    private readonly _newest: () => number
  ) {}

  /** True when a finished sample would be out of the staleness bound now. */
  get isStale (): boolean {
    return isStale(this._origin.toArray(), this._newest(), this.task.terms.staleness_versions)
  }

  abort (): void {
    this._controller.abort()
  }

  async run (): Promise<SampleRunOutcome> {
    const end = await this._run()
    if (this.isStale) return { kind: 'stale' }
    return this._controller.signal.aborted ? { kind: 'aborted' } : end
  }

  private async _run (): Promise<SampleRunOutcome> {
    const tokens: number[] = []
    let text = ''
    let isFinished = false
    for await (const item of this._generate()) {
      if (item.isErr()) {
        if (item.error.kind === 'request_blocked') return this._withoutTokens('request_blocked')
        return { kind: 'failed', reason: `${item.error.kind}: ${item.error.message}` }
      }
      const chunk = item.value
      tokens.push(...chunk.tokenIds)
      text += chunk.text
      if (chunk.origin !== undefined) this._origin.append(chunk.origin)
      isFinished = chunk.finishReason !== undefined
      if (this.isStale) return { kind: 'stale' }
    }
    // Generating again until there is a token would bias the samples.
    if (isFinished && tokens.length === 0) return this._withoutTokens('no_tokens')
    if (!isFinished || !this._origin.covers(tokens.length)) return { kind: 'failed', reason: 'the origin does not cover all tokens' }
    const { scorer } = this.task.terms
    const reward = scorer === undefined ? undefined : await this._scorer.score(this.task, scorer, text, this._controller.signal)
    const { index, attempt } = this.task
    return { kind: 'done', sample: { index, attempt, text, token_ids: tokens, origin: this._origin.toArray(), reward } }
  }

  /** Ends the index for good, because a trainer must not wait for a sample that cannot be generated. */
  private _withoutTokens (failure: SampleFailure): SampleRunOutcome {
    const { index, attempt } = this.task
    return { kind: 'done', sample: { index, attempt, text: '', token_ids: [], origin: [], failure } }
  }

  private _generate (): ReturnType<IGenerator['generate']> {
    const { organisation, trainer, terms, spec, submittedAtMs } = this.task
    const stepMs = terms.step_deadline_s * 1000
    const remainingMs = submittedAtMs + stepMs - Date.now()
    return this._generator.generate({
      requestId: crypto.randomUUID(),
      organisation,
      service: terms.service,
      model: `${organisation}/${trainer}`,
      workClass: `trainer/${trainer}`,
      size: 'long',
      prompt: spec.prompt,
      maxTokens: spec.max_tokens,
      // Engines give equal samples of a prompt for equal seeds; a resumed stream keeps its seed.
      parameters: { seed: crypto.getRandomValues(new Uint32Array(1))[0]! },
      deadlineAtMs: performance.now() + Math.max(remainingMs, stepMs * LATE_SHARE),
      signal: this._controller.signal,
      needsOrigin: true
    })
  }
}
