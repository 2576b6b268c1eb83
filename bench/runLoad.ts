import { setTimeout as sleep } from 'node:timers/promises'
import { Agent } from 'undici'
import type { Arrival } from './Arrival.js'
import type { RequestOutcome } from './RequestOutcome.js'
import { sendArrival } from './sendArrival.js'

const MAX_CONNECTIONS = 1024
const LEAD_MS = 50

/**
 * Open loop: sends each arrival at its time and resolves with all outcomes. By default each request
 * opens a connection of its own, so that a TCP load balancer places every request.
 */
export async function runLoad (address: string, arrivals: readonly Arrival[], options: { keepsConnections?: boolean } = {}): Promise<RequestOutcome[]> {
  const agent = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 })
  const startMs = performance.now() + LEAD_MS
  const isReset = options.keepsConnections !== true
  const running: Array<Promise<RequestOutcome>> = []
  try {
    for (const arrival of [...arrivals].sort((a, b) => a.atMs - b.atMs)) {
      const scheduledAtMs = startMs + arrival.atMs
      const waitMs = scheduledAtMs - performance.now()
      if (waitMs > 0) await sleep(waitMs)
      running.push(sendArrival(agent, address, arrival, scheduledAtMs, isReset))
    }
    return await Promise.all(running)
  } finally {
    await agent.destroy()
  }
}
