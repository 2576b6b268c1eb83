import type { LinkModel } from '../../link/LinkModel.js'
import type { LinkSend } from '../../link/LinkSend.js'

/** The body of one run on its way to an engine, over the links of both. */
export class EngineSend {
  private readonly _startedAtMs = performance.now()
  private readonly _parts: Array<{ link: LinkModel, send: LinkSend }>

  /**
   * `links` are those on which the body takes its time, that of this host first; none for a short body. `onEnded` is called
   * at the response, or at an end without one.
   */
  constructor (links: readonly LinkModel[], bytes: number, private readonly _onEnded: () => void) {
    this._parts = links.map(link => ({ link, send: link.start(bytes) }))
  }

  /**
   * When the engine should have the whole body, as modelled, in terms of `performance.now()`; undefined before. The link of
   * an engine counts only if it limits sends, so that an engine that hangs is not taken for one with a slow link.
   */
  get sentAtMs (): number | undefined {
    let latestMs = this._startedAtMs
    for (const [index, { link, send }] of this._parts.entries()) {
      if (index > 0 && !link.isLimiting) continue
      const sentAtMs = link.sentAtMs(send)
      if (sentAtMs === undefined) return undefined
      latestMs = Math.max(latestMs, sentAtMs)
    }
    return latestMs
  }

  /** Whether the link of this host may be why the engine has not responded. */
  get isLinkSuspect (): boolean {
    const own = this._parts[0]
    return own !== undefined && own.link.isSuspect(own.send)
  }

  /** Records that the engine responds. */
  respond (): void {
    for (const { link, send } of this._parts) link.respond(send)
    this._onEnded()
  }

  /** Ends the send; `isGivenUp` if the engine did not respond in time. Does nothing after a response. */
  end (isGivenUp: boolean): void {
    for (const { link, send } of this._parts) link.end(send, isGivenUp)
    this._onEnded()
  }
}
