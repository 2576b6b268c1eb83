import { Emitter } from '../../kernel/Emitter.js'
import type { ILeadership } from '../ILeadership.js'

/** A leadership that the test controls. */
export class FakeLeadership implements ILeadership {
  private readonly _gained = new Emitter<number>()
  private readonly _lost = new Emitter<void>()
  readonly onGained = this._gained.event
  readonly onLost = this._lost.event
  isValid = true
  latestKnownEpoch: number | undefined

  get isLeader (): boolean { return this.latestKnownEpoch !== undefined }
  validEpoch (): number | undefined { return this.isValid ? this.latestKnownEpoch : undefined }
  leaderAddress (): string | undefined { return undefined }
  observeLeader (): void {}
  resign (epoch: number): void { if (epoch === this.latestKnownEpoch) this.lose() }
  async release (): Promise<void> { this.lose() }

  gain (epoch: number): void {
    this.latestKnownEpoch = epoch
    this._gained.fire(epoch)
  }

  lose (): void {
    this.latestKnownEpoch = undefined
    this._lost.fire()
  }
}
