import { describe, it } from 'node:test'
import { setImmediate as nextLoopTurn } from 'node:timers/promises'
import { expect } from 'earl'
import { Drain } from './Drain.js'
import { createTestSettings } from './testing/createTestSettings.js'

const NOTICE_MS = 30
/** Callers connect until after the longest notice, which is three times the setting, but not until the end of the search for a quiet turn. */
const BUSY_MS = 3 * NOTICE_MS + 200

/** Server to which a caller connects in every turn of the event loop at first. */
class BusyServer {
  private readonly _startedAtMs = performance.now()
  connectionsInLastTurn = 0
  connectionsInTurnOfClose?: number
  private _lastConnectionAtMs = performance.now()

  async acceptConnections (): Promise<void> {
    while (performance.now() - this._startedAtMs < BUSY_MS) {
      this._lastConnectionAtMs = performance.now()
      this.connectionsInLastTurn = 1
      await nextLoopTurn()
    }
    this.connectionsInLastTurn = 0
  }

  inFlight = (): number => 0
  timeSinceConnectionMs = (): number => performance.now() - this._lastConnectionAtMs
  closeIdleConnections = (): void => { this.connectionsInTurnOfClose ??= this.connectionsInLastTurn }
}

describe('Drain', () => {
  // Closing the listener resets the connections that it has not accepted yet.
  it('closes the listener after a turn of the event loop without new connections, although callers kept connecting', async () => {
    const server = new BusyServer()
    const ignore = (): void => {}
    const drain = new Drain(
      () => 0,
      createTestSettings(`drain_notice_ms = ${NOTICE_MS}`),
      { startDraining: ignore } as any,
      { announce: ignore } as any,
      { all: () => [] } as any,
      server as any,
      { flush: async () => {} } as any,
      { info: ignore } as any
    )
    const accepting = server.acceptConnections()
    expect(await drain.run()).toEqual(true)
    await accepting
    expect(server.connectionsInTurnOfClose).toEqual(0)
  })
})
