import { setTimeout as sleep } from 'node:timers/promises'
import type { ReceivedGroup } from './ReceivedGroup.js'
import type { RolloutClient } from './RolloutClient.js'
import type { TrainerOptions } from './TrainerOptions.js'
import type { WeightPublisher } from './WeightPublisher.js'

const RETRY_MS = 100

/** Submits steps, reads their groups, trains and acknowledges. Checks nothing, keeps everything. */
export class TrainerLoop {
  readonly receivedGroups: ReceivedGroup[] = []
  /** Time spent waiting for groups of the oldest step that is not whole. */
  idleMs = 0
  stepsDone = 0
  stepsSubmitted = 0
  readCount = 0
  cursor: number
  readonly stepDurationsMs: number[] = []
  private readonly _groupsOfStep = new Map<number, Set<string>>()
  private readonly _submittedAtMs = new Map<number, number>()

  constructor (
    private readonly _options: TrainerOptions,
    private readonly _api: RolloutClient,
    private readonly _weights: WeightPublisher,
    private readonly _untilRunning: () => Promise<void>,
    private readonly _dropAnswer: () => boolean
  ) {
    this.cursor = _options.firstCursor
  }

  async run (): Promise<void> {
    const { firstStep, steps } = this._options
    const end = steps === 0 ? Infinity : firstStep + steps
    for (let step = firstStep; step < end; step++) {
      await this._submitUpTo(Math.min(step + this._options.ahead, end - 1))
      const waitFromMs = performance.now()
      while (!this._isWhole(step)) await this._read()
      this.idleMs += performance.now() - waitFromMs
      this.stepDurationsMs.push(performance.now() - this._submittedAtMs.get(step)!)
      // A lost acknowledgement is made up for by the next one and by the cursor of the next read.
      await this._api.post('/ack', { cursor: this.cursor })
      await sleep(this._options.trainMs)
      this.stepsDone++
    }
  }

  private async _submitUpTo (last: number): Promise<void> {
    for (let step = this._options.firstStep + this.stepsSubmitted; step <= last; step++) {
      this._submittedAtMs.set(step, performance.now())
      while (!await this._submit(step)) await sleep(RETRY_MS)
      this.stepsSubmitted++
    }
  }

  private async _submit (step: number): Promise<boolean> {
    await this._untilRunning()
    const { prompt, samples, maxTokens, groups: count } = this._options
    const groups = Array.from({ length: count }, (_, index) => ({
      group: groupName(step, index),
      prompt: prompt.replaceAll('{step}', String(step)).replaceAll('{group}', String(index)),
      samples,
      max_tokens: maxTokens
    }))
    return await this._api.post('/steps', { step, groups })
  }

  /** One read. A version published meanwhile ends it, so that the version it states is the newest. */
  private async _read (): Promise<void> {
    await this._untilRunning()
    const abort = new AbortController()
    const subscription = this._weights.onPublish(() => abort.abort())
    const version = this._weights.version
    const address = this._api.address
    this.readCount++
    const answer = await this._api.read(this.cursor, version, abort.signal)
    subscription.dispose()
    if (answer === undefined) {
      if (!abort.signal.aborted) await sleep(RETRY_MS)
      return
    }
    if (this._dropAnswer()) return
    const cursorBefore = this.cursor
    this.cursor = answer.cursor
    for (const group of answer.groups) {
      this.receivedGroups.push({
        ...group,
        read: this.readCount - 1,
        address,
        received_at_ms: Date.now(),
        version_known: version,
        cursor_before: cursorBefore,
        cursor_after: answer.cursor
      })
      this._groups(group.step).add(group.group)
    }
  }

  private _isWhole (step: number): boolean {
    return this._groups(step).size >= this._options.groups
  }

  private _groups (step: number): Set<string> {
    const groups = this._groupsOfStep.get(step) ?? new Set()
    this._groupsOfStep.set(step, groups)
    return groups
  }
}

function groupName (step: number, index: number): string {
  return `s${step}-g${index}`
}
