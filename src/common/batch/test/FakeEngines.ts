import type { FleetUpstream } from '../../fleet/FleetUpstream.js'
import type { EngineRunOutcome } from '../run/EngineRunOutcome.js'
import type { IEngineTransport } from '../run/IEngineTransport.js'

type Run = Parameters<IEngineTransport['run']>

/** Engines that generate events of known content at a fixed pace. */
export class FakeEngines implements IEngineTransport {
  /** Events by item. */
  eventCounts: Record<string, number> = {}
  /** Event after which the first run of an item breaks off. */
  breakAfterEvent: Record<string, number> = {}
  /** Items whose runs break before their first event. */
  readonly crashing = new Set<string>()
  /** Items whose runs fail. */
  readonly failing = new Set<string>()
  readonly runs: string[] = []
  private readonly _resumedAt = new Map<string, number>()

  constructor (private readonly _paceMs: number) {}

  textOf (itemId: string): string {
    return Array.from({ length: this.eventCounts[itemId] ?? 0 }, (_, index) => `${itemId}${index + 1}`).join('\n')
  }

  /** Last event behind which an item was asked for. */
  resumedAt (itemId: string): number {
    return this._resumedAt.get(itemId) ?? 0
  }

  async run (request: Run[0], engine: FleetUpstream, listener: Run[2], signal: AbortSignal): Promise<EngineRunOutcome> {
    const { id } = request.item
    this.runs.push(`${id} ${engine.member.id} ${request.lastEventId}`)
    this._resumedAt.set(id, request.lastEventId)
    if (this.crashing.has(id)) return { kind: 'broken', reason: 'reset' }
    if (this.failing.has(id)) return { kind: 'failed', status: 500 }
    listener.onVersion(1)
    const breakAt = this.breakAfterEvent[id]
    delete this.breakAfterEvent[id]
    return await new Promise(resolve => {
      let eventId = request.lastEventId
      // The paused clock runs an interval on that is cleared in its own callback.
      let isOver = false
      const timer = setInterval(() => {
        if (isOver) return
        eventId += 1
        listener.onEvent(eventId, `${id}${eventId}`)
        if (eventId === breakAt) end({ kind: 'broken', reason: 'reset' })
        else if (eventId >= (this.eventCounts[id] ?? 0)) end({ kind: 'complete' })
      }, this._paceMs)
      const end = (result: EngineRunOutcome): void => {
        isOver = true
        clearInterval(timer)
        resolve(result)
      }
      signal.addEventListener('abort', () => end({ kind: 'broken', reason: 'cancelled' }))
    })
  }
}
