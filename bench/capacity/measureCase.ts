import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster } from '../../tools/harness/Cluster.js'
import { readExampleContract } from '../../tools/harness/readExampleContract.js'
import { bearerTokens } from '../../tools/harness/bearerTokens.js'
import type { CapacityCase } from './CapacityCase.js'
import type { CapacityResult } from './CapacityResult.js'
import { readProcess } from './readProcess.js'

const SETTLE_MS = 3000
const MEASURED_ENTRY = 'entry-1'

/** Starts a cluster and measures an entry that serves no requests: CPU time and memory, and its traffic by the byte counters of the fault proxy. */
export async function measureCase (capacityCase: CapacityCase, seconds: number): Promise<CapacityResult> {
  const cluster = await Cluster.start({
    entries: capacityCase.entries,
    services: {
      'order-app': { kind: 'plain', count: capacityCase.upstreams },
      'shaping-llm': { kind: 'engine', count: 1 }
    },
    contracts: [await readExampleContract('lin-shun')],
    // The entry's defaults instead of the shorter values for tests.
    timing: { append_interval_ms: 50, membership_poll_ms: 1000, load_poll_ms: 500, gossip_interval_ms: 400, heartbeat_timeout_ms: 3000, lease_ms: 10_000 },
    isProxied: from => from === MEASURED_ENTRY
  })
  try {
    const stop = new AbortController()
    const load = Promise.all([sendAtRate(capacityCase.ticketsPerS, stop.signal, index => sendTicket(cluster, index)),
      sendAtRate(capacityCase.publicationsPerS, stop.signal, index => publishChangedContract(cluster, index))])
    await sleep(SETTLE_MS)
    const pid = cluster.entry(MEASURED_ENTRY).pid!
    const before = { ...await readProcess(pid), bytes: await readBytes(cluster) }
    await sleep(seconds * 1000)
    const after = { ...await readProcess(pid), bytes: await readBytes(cluster) }
    stop.abort()
    await load
    const bytesPerS = (counterpart: keyof typeof after.bytes): number => (after.bytes[counterpart] - before.bytes[counterpart]) / seconds
    return {
      name: capacityCase.name,
      cpuMsPerS: (after.cpuMs - before.cpuMs) / seconds,
      residentMb: after.residentMb,
      logBytesPerS: bytesPerS('log'),
      membershipBytesPerS: bytesPerS('membership'),
      upstreamBytesPerS: bytesPerS('upstream'),
      gossipBytesPerS: bytesPerS('gossip')
    }
  } finally {
    await cluster.dispose()
  }
}

/** Open loop: calls `send` at a fixed rate until aborted, then waits for the calls in flight. */
async function sendAtRate (perS: number, signal: AbortSignal, send: (index: number) => Promise<unknown>): Promise<void> {
  if (perS === 0) return
  const startedAtMs = performance.now()
  const pending: Promise<unknown>[] = []
  for (let index = 0; !signal.aborted; index++) {
    await sleep(Math.max(0, startedAtMs + index * 1000 / perS - performance.now()))
    pending.push(send(index).catch(error => console.error(String(error))))
  }
  await Promise.all(pending)
}

/** Sends a ticket to one of the entries that are not measured. */
async function sendTicket (cluster: Cluster, index: number): Promise<void> {
  const others = cluster.entries.slice(1)
  const entry = others[index % others.length]!
  const response = await fetch(`http://${entry.listen}/v1/services/order-app/tickets`, {
    method: 'POST',
    headers: { authorization: `Bearer ${bearerTokens['lin-shun']}`, 'idempotency-key': `ticket-${index}` },
    body: JSON.stringify({ index })
  })
  await response.text()
}

/** Publishes a new revision of a contract, which differs in `max_queue`. */
async function publishChangedContract (cluster: Cluster, index: number): Promise<void> {
  const text = await readExampleContract('lin-shun')
  await cluster.publishContract(text.replace('max_queue = 1024', `max_queue = ${1024 + index % 100}`), cluster.entries[1]!)
}

/** Reads the bytes forwarded so far on the measured entry's routes, by counterpart. */
async function readBytes (cluster: Cluster): Promise<{ log: number, membership: number, upstream: number, gossip: number }> {
  const totals = { log: 0, membership: 0, upstream: 0, gossip: 0 }
  for (const [name, { bytes }] of Object.entries<{ bytes: number }>(await cluster.proxy.get('/routes'))) {
    if (name.endsWith('/udp')) totals.gossip += bytes
    else if (name.endsWith('>log')) totals.log += bytes
    else if (name.endsWith('>membership')) totals.membership += bytes
    else totals.upstream += bytes
  }
  return totals
}
