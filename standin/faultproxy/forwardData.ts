import { once } from 'node:events'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { RouteFaults } from './RouteFaults.js'

/** Options for one direction of a connection. */
interface ForwardOptions {
  faults: () => RouteFaults
  /** Called with the length of each chunk of data that is received. */
  onReceived: (length: number) => void
  /** Resolves as soon as the route is not frozen. */
  waitWhileFrozen: () => Promise<void>
  /** Decides for each chunk of data whether it is discarded. */
  shouldDiscard: () => boolean
}

/** Forwards data from one socket to the other, subject to the route's faults, until the source ends. */
export async function forwardData (source: Socket, destination: Socket, options: ForwardOptions): Promise<void> {
  // TCP never delivers data that follows lost data, so once data has been discarded, nothing more is
  // forwarded in this direction until the connection ends.
  let hasLostData = false
  try {
    for await (const data of source.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      options.onReceived(data.length)
      await options.waitWhileFrozen()
      const { delay_ms: delayMs, throttle_bytes_per_s: rate } = options.faults()
      const throttleMs = rate > 0 ? data.length / rate * 1000 : 0
      if (delayMs + throttleMs > 0) await sleep(delayMs + throttleMs)
      // The fault may have been enabled during the delay.
      await options.waitWhileFrozen()
      hasLostData ||= options.shouldDiscard()
      if (hasLostData || destination.writableEnded || destination.destroyed) continue
      if (!destination.write(data)) await Promise.race([once(destination, 'drain'), once(destination, 'close')])
    }
    await options.waitWhileFrozen()
    if (!destination.destroyed) destination.end()
  } catch {
    // The connection failed; its close event closes the other side.
  }
}
