import { sizeClassOf } from '../../link/sizeClassOf.js'
import type { IMetrics } from '../../metrics/IMetrics.js'
import type { EngineLinks } from './EngineLinks.js'

const REPORT_INTERVAL_MS = 1000

/** Decides in each dispatch of waiting items which of them have to wait for room on the link of this host. */
export class SendGate {
  private readonly _heldClasses = new Set<number>()
  private _reportedAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _links: EngineLinks, private readonly _metrics: IMetrics) {}

  /** Whether the last dispatch held an item. */
  get hasHeld (): boolean {
    return this._heldClasses.size > 0
  }

  beginDispatch (): void {
    this._heldClasses.clear()
  }

  /** Sets the metrics of the link unless they were set less than a second ago. */
  reportIfDue (): void {
    if (performance.now() - this._reportedAtMs < REPORT_INTERVAL_MS) return
    this._reportedAtMs = performance.now()
    this._metrics.gauge('batch_link_bytes_per_s', this._links.bytesPerMs * 1000)
    this._metrics.gauge('batch_link_unsent_bytes', this._links.unsentBytes)
  }

  /**
   * Whether an item with a body of this size has to wait. Later items of its size class then wait too, so that they do not
   * use all of the room that it waits for.
   */
  holds (bytes: number): boolean {
    const sizeClass = sizeClassOf(bytes)
    if (!this._heldClasses.has(sizeClass) && this._links.admits(bytes)) return false
    this._heldClasses.add(sizeClass)
    this._metrics.count('batch_sends_held')
    return true
  }
}
