import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster } from '../../tools/harness/Cluster.js'
import { readExampleContract } from '../../tools/harness/readExampleContract.js'
import { bearerTokens } from '../../tools/harness/bearerTokens.js'
import type { CapacityCase } from './CapacityCase.js'
import type { CapacityResult } from './CapacityResult.js'
import { readProcess } from './readProcess.js'

const SETTLE_MS = 3000
const MEASURED = 'entry-1'

/** Starts a cluster and measures an entry that serves nothing, seen through the fault proxy's byte counters. */
export async function measureCase (item: CapacityCase, seconds: number): Promise<CapacityResult> {
  const cluster = await Cluster.start({
    entries: item.entries,
    services: {
      'order-app': { kind: 'plain', count: item.upstreams },
      'shaping-llm': { kind: 'engine', count: 1 }
    },
    contracts: [await readExampleContract('lin-shun')],
    // The defaults of the entry, not the faster values of the tests.
    timing: { append_interval_ms: 50, membership_poll_ms: 1000, load_poll_ms: 500, gossip_interval_ms: 400, heartbeat_timeout_ms: 3000, lease_ms: 10_000 },
    isProxied: from => from === MEASURED
  })
  try {
    const stop = new AbortController()
    const work = Promise.all([drive(item.ticketsPerS, stop.signal, index => sendTicket(cluster, index)),
      drive(item.publicationsPerS, stop.signal, index => publish(cluster, index))])
    await sleep(SETTLE_MS)
    const pid = cluster.entry(MEASURED).pid!
    const before = { ...await readProcess(pid), bytes: await readBytes(cluster) }
    await sleep(seconds * 1000)
    const after = { ...await readProcess(pid), bytes: await readBytes(cluster) }
    stop.abort()
    await work
    const rate = (part: keyof typeof after.bytes): number => (after.bytes[part] - before.bytes[part]) / seconds
    return {
      name: item.name,
      cpuMsPerS: (after.cpuMs - before.cpuMs) / seconds,
      residentMb: after.residentMb,
      logBytesPerS: rate('log'),
      membershipBytesPerS: rate('membership'),
      upstreamBytesPerS: rate('upstream'),
      gossipBytesPerS: rate('gossip')
    }
  } finally {
    await cluster.dispose()
  }
}

async function drive (perS: number, signal: AbortSignal, send: (index: number) => Promise<unknown>): Promise<void> {
  if (perS === 0) return
  const startedAtMs = performance.now()
  const pending: Promise<unknown>[] = []
  for (let index = 0; !signal.aborted; index++) {
    await sleep(Math.max(0, startedAtMs + index * 1000 / perS - performance.now()))
    pending.push(send(index).catch(error => console.error(String(error))))
  }
  await Promise.all(pending)
}

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

async function publish (cluster: Cluster, index: number): Promise<void> {
  const text = await readExampleContract('lin-shun')
  await cluster.publishContract(text.replace('max_queue = 1024', `max_queue = ${1024 + index % 100}`), cluster.entries[1]!)
}

async function readBytes (cluster: Cluster): Promise<{ log: number, membership: number, upstream: number, gossip: number }> {
  const sum = { log: 0, membership: 0, upstream: 0, gossip: 0 }
  for (const [name, { bytes }] of Object.entries<{ bytes: number }>(await cluster.proxy.get('/routes'))) {
    if (name.endsWith('/udp')) sum.gossip += bytes
    else if (name.endsWith('>log')) sum.log += bytes
    else if (name.endsWith('>membership')) sum.membership += bytes
    else sum.upstream += bytes
  }
  return sum
}
