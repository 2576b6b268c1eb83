import { Emitter } from '../../kernel/Emitter.js'
import { LinkModel } from '../../link/LinkModel.js'
import { sizeClassOf } from '../../link/sizeClassOf.js'
import { EngineSend } from './EngineSend.js'

const MIN_SENDS = 4
/** Fewer than for this host, so that its first sends go to several engines, of which some may hang. */
const MIN_SENDS_TO_ENGINE = 1
/** A thirtieth of the slowest link in use. */
const MIN_BYTES_PER_MS = 125
/** The slowest link in use: an engine that does not respond for longer rather hangs. */
const MIN_BYTES_PER_MS_TO_ENGINE = 3937.5

/** The links that the bodies of items pass, that of this host and those of the engines. Short bodies are left out. */
export class EngineLinks {
  private readonly _own = new LinkModel(MIN_SENDS, MIN_BYTES_PER_MS)
  private readonly _byEngine = new Map<string, LinkModel>()
  private readonly _onSendEnded = new Emitter<void>()
  /** Fires when an engine responds to a send, and when a send ends without a response. */
  readonly onSendEnded = this._onSendEnded.event

  /** Rate of this host's link, in bytes per millisecond. */
  get bytesPerMs (): number {
    return this._own.bytesPerMs
  }

  get unsentBytes (): number {
    return this._own.unsentBytes
  }

  /** Whether this host's link has room for a body. */
  admits (bytes: number): boolean {
    return sizeClassOf(bytes) === 0 || this._own.admits(bytes)
  }

  /** Those of some engines whose links have room for a body. */
  reachable<T extends { id: string }> (engines: readonly T[], bytes: number): readonly T[] {
    return sizeClassOf(bytes) === 0 ? engines : engines.filter(({ id }) => this._byEngine.get(id)?.admits(bytes) !== false)
  }

  /** Expected time to send a body to an engine over idle links, in milliseconds. */
  sendMs (engineId: string, bytes: number): number {
    return bytes / Math.min(this._own.bytesPerMs, this._byEngine.get(engineId)?.bytesPerMs ?? Number.POSITIVE_INFINITY)
  }

  start (engineId: string, bytes: number): EngineSend {
    const links = sizeClassOf(bytes) === 0 ? [] : [this._own, this._engineLink(engineId)]
    return new EngineSend(links, bytes, () => this._onSendEnded.fire())
  }

  /** Forgets the link of an engine that has left. */
  remove (engineId: string): void {
    this._byEngine.delete(engineId)
  }

  private _engineLink (engineId: string): LinkModel {
    const link = this._byEngine.get(engineId) ?? new LinkModel(MIN_SENDS_TO_ENGINE, MIN_BYTES_PER_MS_TO_ENGINE, this._own.bytesPerMs)
    this._byEngine.set(engineId, link)
    return link
  }
}
