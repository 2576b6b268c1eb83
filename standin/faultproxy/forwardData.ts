import { once } from 'node:events'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { RouteFaults } from './RouteFaults.js'

/** What a direction of a connection needs to know about its route. */
interface Pump {
  faults: () => RouteFaults
  /** Told the length of each piece of data. */
  count: (length: number) => void
  /** Resolves when the route is not frozen. */
  untilThawed: () => Promise<void>
  /** True when this piece of data must not be passed on. */
  isDiscarded: () => boolean
}

/** Moves data from one socket to the other under the route's faults until the source ends. */
export async function forwardData (source: Socket, destination: Socket, pump: Pump): Promise<void> {
  // TCP never delivers data behind a hole, so a direction that lost data stays dead until its connection ends.
  let hasHole = false
  try {
    for await (const data of source.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      pump.count(data.length)
      await pump.untilThawed()
      const { delay_ms: delayMs, throttle_bytes_per_s: rate } = pump.faults()
      const throttleMs = rate > 0 ? data.length / rate * 1000 : 0
      if (delayMs + throttleMs > 0) await sleep(delayMs + throttleMs)
      // The fault may have been switched on during the delay.
      await pump.untilThawed()
      hasHole ||= pump.isDiscarded()
      if (hasHole || destination.writableEnded || destination.destroyed) continue
      if (!destination.write(data)) await Promise.race([once(destination, 'drain'), once(destination, 'close')])
    }
    await pump.untilThawed()
    if (!destination.destroyed) destination.end()
  } catch {
    // The connection broke; its close event tears down the other side.
  }
}
