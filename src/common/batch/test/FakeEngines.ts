import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { EngineRunOutcome } from '../run/EngineRunOutcome.js'
import type { IEngineTransport } from '../run/IEngineTransport.js'

type RunParameters = Parameters<IEngineTransport['run']>

/** Engines that generate events of known content at a fixed interval. */
export class FakeEngines implements IEngineTransport {
  /** Number of events by item id. */
  eventCounts: Record<string, number> = {}
  /** Id of the event after which the first run breaks, by item id. */
  breakAfterEvent: Record<string, number> = {}
  /** Ids of the items whose runs break before their first event. */
  readonly crashing = new Set<string>()
  /** Ids of the items whose runs the engine reports as failed. */
  readonly failing = new Set<string>()
  /** Ids of the items whose next run throws. */
  readonly throwing = new Set<string>()
  /** Loaded version by engine id; 1 unless it is given. */
  versions: Record<string, number> = {}
  /** Version that the engine has from an event of an item on, in the first run that makes this event. */
  versionFromEvent: Record<string, { eventId: number, version: number }> = {}
  /** Data of an event of an item, the same at all engines. */
  eventData: (itemId: string, eventId: number) => string = (itemId, eventId) => `${itemId}${eventId}`
  /** All runs so far, as `ITEM ENGINE LAST_EVENT_ID`. */
  readonly runs: string[] = []
  /** Organisation of each run. */
  readonly organisations: Array<string | undefined> = []
  private readonly _resumedAt = new Map<string, number>()

  constructor (private readonly _eventIntervalMs: number) {}

  /** Complete output text of an item. */
  textOf (itemId: string): string {
    return Array.from({ length: this.eventCounts[itemId] ?? 0 }, (_, index) => this.eventData(itemId, index + 1)).join('\n')
  }

  /** Event id after which the last run of an item resumed; 0 for a run from the start. */
  resumedAt (itemId: string): number {
    return this._resumedAt.get(itemId) ?? 0
  }

  async run (request: RunParameters[0], engine: FleetUpstream, listener: RunParameters[2], signal: AbortSignal): Promise<EngineRunOutcome> {
    const { id } = request.item
    this.runs.push(`${id} ${engine.member.id} ${request.lastEventId}`)
    this.organisations.push(request.organisation)
    this._resumedAt.set(id, request.lastEventId)
    if (this.throwing.delete(id)) throw new Error('fault of the transport')
    if (this.crashing.has(id)) return { kind: 'broken', reason: 'reset' }
    if (this.failing.has(id)) return { kind: 'failed', status: 500 }
    listener.onVersion(this.versions[engine.member.id] ?? 1)
    if (signal.aborted) return { kind: 'broken', reason: 'cancelled' }
    const breakAfterEvent = this.breakAfterEvent[id]
    delete this.breakAfterEvent[id]
    return await new Promise(resolve => {
      let eventId = request.lastEventId
      // The virtual clock keeps firing an interval that is cleared in its own callback.
      let isEnded = false
      const timer = setInterval(() => {
        if (isEnded) return
        eventId += 1
        const change = this.versionFromEvent[id]
        if (change?.eventId === eventId) {
          this.versions[engine.member.id] = change.version
          delete this.versionFromEvent[id]
          listener.onVersion(change.version)
        }
        if (isEnded) return
        listener.onEvent(eventId, this.eventData(id, eventId))
        if (eventId === breakAfterEvent) finish({ kind: 'broken', reason: 'reset' })
        else if (eventId >= (this.eventCounts[id] ?? 0)) finish({ kind: 'complete' })
      }, this._eventIntervalMs)
      const finish = (outcome: EngineRunOutcome): void => {
        isEnded = true
        clearInterval(timer)
        resolve(outcome)
      }
      signal.addEventListener('abort', () => finish({ kind: 'broken', reason: 'cancelled' }))
    })
  }
}
