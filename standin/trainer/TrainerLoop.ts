import { setTimeout as sleep } from 'node:timers/promises'
import type { ReceivedGroup } from './ReceivedGroup.js'
import type { RolloutClient } from './RolloutClient.js'
import type { TrainerOptions } from './TrainerOptions.js'
import type { WeightPublisher } from './WeightPublisher.js'

const RETRY_INTERVAL_MS = 100

/** Submits steps, reads their groups, trains and acknowledges. Keeps all received groups without checking them. */
export class TrainerLoop {
  readonly receivedGroups: ReceivedGroup[] = []
  /** Total time spent waiting for the groups of the oldest incomplete step. */
  idleMs = 0
  stepsDone = 0
  stepsSubmitted = 0
  readCount = 0
  cursor: number
  readonly stepDurationsMs: number[] = []
  private readonly _groupsByStep = new Map<number, Set<string>>()
  private readonly _submittedAtMs = new Map<number, number>()

  constructor (
    private readonly _options: TrainerOptions,
    private readonly _client: RolloutClient,
    private readonly _weights: WeightPublisher,
    private readonly _waitWhilePaused: () => Promise<void>,
    private readonly _shouldDropResponse: () => boolean
  ) {
    this.cursor = _options.firstCursor
  }

  async run (): Promise<void> {
    const { firstStep, steps } = this._options
    const endStep = steps === 0 ? Infinity : firstStep + steps
    for (let step = firstStep; step < endStep; step++) {
      await this._submitUpTo(Math.min(step + this._options.ahead, endStep - 1))
      const waitStartedAtMs = performance.now()
      while (!this._isComplete(step)) await this._read()
      this.idleMs += performance.now() - waitStartedAtMs
      this.stepDurationsMs.push(performance.now() - this._submittedAtMs.get(step)!)
      // A lost acknowledgement needs no retry: the next one and the cursor of the next read cover it.
      await this._client.post('/ack', { cursor: this.cursor })
      await sleep(this._options.trainMs)
      this.stepsDone++
    }
  }

  private async _submitUpTo (lastStep: number): Promise<void> {
    for (let step = this._options.firstStep + this.stepsSubmitted; step <= lastStep; step++) {
      this._submittedAtMs.set(step, performance.now())
      while (!await this._submit(step)) await sleep(RETRY_INTERVAL_MS)
      this.stepsSubmitted++
    }
  }

  private async _submit (step: number): Promise<boolean> {
    await this._waitWhilePaused()
    const { prompt, samples, maxTokens, groups: count } = this._options
    const groups = Array.from({ length: count }, (_, index) => ({
      group: groupName(step, index),
      prompt: prompt.replaceAll('{step}', String(step)).replaceAll('{group}', String(index)),
      samples,
      max_tokens: maxTokens
    }))
    return await this._client.post('/steps', { step, groups })
  }

  /** Makes one read. Aborts it when a version is published, so that the stated version is always the newest. */
  private async _read (): Promise<void> {
    await this._waitWhilePaused()
    const abort = new AbortController()
    const subscription = this._weights.onPublish(() => abort.abort())
    const version = this._weights.version
    const address = this._client.address
    this.readCount++
    const response = await this._client.read(this.cursor, version, abort.signal)
    subscription.dispose()
    if (response === undefined) {
      if (!abort.signal.aborted) await sleep(RETRY_INTERVAL_MS)
      return
    }
    if (this._shouldDropResponse()) return
    const cursorBefore = this.cursor
    this.cursor = response.cursor
    for (const group of response.groups) {
      this.receivedGroups.push({
        ...group,
        read: this.readCount - 1,
        address,
        received_at_ms: Date.now(),
        version_known: version,
        cursor_before: cursorBefore,
        cursor_after: response.cursor
      })
      this._receivedGroupsOf(group.step).add(group.group)
    }
  }

  private _isComplete (step: number): boolean {
    return this._receivedGroupsOf(step).size >= this._options.groups
  }

  private _receivedGroupsOf (step: number): Set<string> {
    const groups = this._groupsByStep.get(step) ?? new Set()
    this._groupsByStep.set(step, groups)
    return groups
  }
}

function groupName (step: number, index: number): string {
  return `s${step}-g${index}`
}
