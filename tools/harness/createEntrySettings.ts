import type { ServiceOptions } from './ServiceOptions.js'
import { sha256Hex } from './sha256Hex.js'
import { bearerTokens } from './bearerTokens.js'

// Faster than in production, so that tests see lags, leases and heartbeats pass within seconds.
const TIMING = {
  append_interval_ms: 20,
  lease_ms: 3000,
  lease_guard_ms: 1000,
  retention_ms: 3_600_000,
  membership_poll_ms: 200,
  load_poll_ms: 200,
  gossip_interval_ms: 200,
  heartbeat_timeout_ms: 3000,
  drain_notice_ms: 500,
  drain_limit_ms: 600_000
}
const HTTP = {
  max_body_bytes: 8_388_608,
  max_header_bytes: 32_768,
  max_connections: 1000,
  idle_timeout_ms: 30_000,
  max_stream_ms: 600_000
}

/** What is particular to one entry's settings. */
interface EntryPlan {
  id: string
  failureDomain: string
  listen: string
  peer: string
  rpc: string
  log: string
  membership: string
  services: Record<string, ServiceOptions & { addresses: string[] }>
  timing: Record<string, number>
  http: Record<string, number>
}

/** Settings file of an entry daemon. */
export function createEntrySettings (plan: EntryPlan): string {
  const operators = Object.entries(bearerTokens.operators).map(([name, token]) => [name, sha256Hex(token)])
  return [
    section('entry', {
      id: plan.id,
      failure_domain: plan.failureDomain,
      listen: plan.listen,
      peer: plan.peer,
      rpc: plan.rpc,
      peer_key: 'shared-key-of-the-test-entries'
    }),
    section('platform', { log: plan.log, membership: plan.membership }),
    section('operators', Object.fromEntries(operators)),
    ...Object.entries(plan.services).map(([name, service]) => section(`service.${name}`, serviceKeys(service))),
    section('timing', { ...TIMING, ...plan.timing }),
    section('http', { ...HTTP, ...plan.http })
  ].join('\n')
}

function serviceKeys (service: ServiceOptions & { addresses: string[] }): Record<string, unknown> {
  const balancer = service.balancer ?? 'expected-wait'
  const policies = { balancer, admission: service.admission ?? 'bounded', hedging: service.hedging ?? true }
  if (service.kind === 'plain') return { kind: 'plain', ...policies }
  return {
    kind: 'engine',
    checks_fence: service.checksFence ?? true,
    order_addresses: service.addresses.join(', '),
    swap_parallel: service.swapParallel ?? 2,
    swap_order: service.swapOrder ?? 'planned',
    ...policies
  }
}

function section (name: string, keys: Record<string, unknown>): string {
  const lines = Object.entries(keys).map(([key, value]) => `${key} = ${String(value)}\n`)
  return `[${name}]\n${lines.join('')}`
}
