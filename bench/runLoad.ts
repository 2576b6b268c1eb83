import { setTimeout as sleep } from 'node:timers/promises'
import { Agent } from 'undici'
import type { Arrival } from './Arrival.js'
import type { RequestOutcome } from './RequestOutcome.js'
import { sendArrival } from './sendArrival.js'

const MAX_CONNECTIONS = 1024
const START_DELAY_MS = 50

/**
 * Open loop: sends each request at its scheduled time and resolves with all outcomes. Unless `keepsConnections`
 * is true, each request opens its own connection, so that a TCP load balancer distributes single requests.
 */
export async function runLoad (address: string, arrivals: readonly Arrival[], options: { keepsConnections?: boolean } = {}): Promise<RequestOutcome[]> {
  const agent = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 })
  const startMs = performance.now() + START_DELAY_MS
  const closesConnections = options.keepsConnections !== true
  const pending: Array<Promise<RequestOutcome>> = []
  try {
    for (const arrival of [...arrivals].sort((a, b) => a.atMs - b.atMs)) {
      const scheduledAtMs = startMs + arrival.atMs
      const waitMs = scheduledAtMs - performance.now()
      if (waitMs > 0) await sleep(waitMs)
      pending.push(sendArrival(agent, address, arrival, scheduledAtMs, closesConnections))
    }
    return await Promise.all(pending)
  } finally {
    await agent.destroy()
  }
}
