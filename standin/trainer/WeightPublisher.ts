import { setTimeout as sleep } from 'node:timers/promises'
import { Emitter } from '../../src/common/kernel/Emitter.js'
import type { RolloutClient } from './RolloutClient.js'
import type { TrainerOptions } from './TrainerOptions.js'

const RETRY_INTERVAL_MS = 50

/** Publishes new versions to the weight store at a fixed interval and announces them to the rollout service. */
export class WeightPublisher {
  /** Newest version in the weight store. */
  version: number
  /** Newest version whose announcement was accepted. */
  announcedVersion = -1
  readonly publishedAtMs: Record<number, number> = {}
  private readonly _published = new Emitter<number>()
  readonly onPublish = this._published.event

  constructor (
    private readonly _options: TrainerOptions,
    private readonly _client: RolloutClient,
    private readonly _isPaused: () => boolean
  ) {
    this.version = _options.version
  }

  async run (): Promise<void> {
    await Promise.all([this._publishPeriodically(), this._announceNewest()])
  }

  private async _publishPeriodically (): Promise<void> {
    if (this.version > 0) await this._publish(this.version)
    if (this._options.weightsEveryMs === 0) return
    for (;;) {
      await sleep(this._options.weightsEveryMs)
      if (!this._isPaused()) await this._publish(this.version + 1)
    }
  }

  /** Announces the newest version until it is accepted; versions in between may be skipped. */
  private async _announceNewest (): Promise<void> {
    for (;;) {
      const version = this.version
      const needsAnnouncement = version > this.announcedVersion && version in this.publishedAtMs
      if (needsAnnouncement && await this._client.post('/weights', { version })) this.announcedVersion = version
      else await sleep(RETRY_INTERVAL_MS)
    }
  }

  private async _publish (version: number): Promise<void> {
    while (!await this._upload(version)) await sleep(RETRY_INTERVAL_MS)
    this.version = version
    this.publishedAtMs[version] = Date.now()
    this._published.fire(version)
  }

  private async _upload (version: number): Promise<boolean> {
    const { weights, organisation, trainer } = this._options
    if (weights === '') return true
    try {
      return (await fetch(`http://${weights}/v1/weights/${organisation}/${trainer}/${version}`, { method: 'PUT' })).ok
    } catch {
      return false
    }
  }
}
