const LIMITS = { max_header_bytes: 16384, max_body_bytes: 33554432, header_timeout_ms: 3000, idle_timeout_ms: 15000 }

export const ENGINES = 'shaping'
export const ORDERS = 'orders'
export const MODEL = 'm0'
export const TRIALS_HOST = 'trials.example'
export const ORDERS_HOST = 'orders.example'

export const trialsRoute = { name: 'trials', host: TRIALS_HOST, path_prefix: '/trials/', kind: 'rollout', timeout_ms: 10000, target_latency_ms: 400, priority: 0, service: ENGINES, max_attempts: 3, retention_s: 40, deadline_ms: 7500, single_version: false, sticky: true, resumable: true }
export const lookupRoute = { name: 'lookup', host: ORDERS_HOST, path_prefix: '/lookup/', kind: 'idempotent', timeout_ms: 1500, target_latency_ms: 184, priority: 2, service: ORDERS, max_attempts: 2 }
export const ticketRoute = { name: 'ticket', host: ORDERS_HOST, path_prefix: '/ticket/', kind: 'non_idempotent', timeout_ms: 1500, target_latency_ms: 184, priority: 1, service: ORDERS, max_attempts: 1 }

/** A configuration as the operator writes it, with these routes. */
export function configOf (version, routes) {
  return {
    version,
    routes,
    services: [
      { name: ENGINES, health_path: '/health', max_conns: 180, protocol: 'h1', tls: false, engine: { slots: 16, kv_capacity_tokens: 55143, kv_token_bytes: 163840, link_mbps: 5900000, stride: 63, models: [{ name: MODEL }] } },
      { name: ORDERS, health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }
    ],
    limits: LIMITS
  }
}
