const ENTRIES = Array.from({ length: 12 }, (_, index) => `entry-${index + 1}`)
const ENGINES = ['shaping-llm-1', 'shaping-llm-2', 'shaping-llm-3', 'mester-1', 'mester-2', 'mester-3']
const SERVICES = ['order-app-1', 'order-app-2', 'order-app-3', 'kapu-1', 'kapu-2', 'kapu-3']
const ROUTES = ['entry-1', 'entry-2', 'entry-3', 'entry-4'].flatMap(entry =>
  ['log', 'membership', 'order-app-1', 'shaping-llm-1', 'kapu-1', 'mester-1'].map(to => `${entry}>${to}`))
const GOSSIP_ROUTES = ['entry-1>entry-2/udp', 'entry-2>entry-1/udp', 'entry-3>entry-4/udp', 'entry-4>entry-3/udp']
const TRAINERS = ['trainer-brim', 'trainer-cellar-red', 'trainer-cellar-white']

interface FaultDefinition {
  targets: string[]
  /** Posted to the `/faults` endpoint of the target. */
  fields?: Record<string, unknown>
  /** Offset applied to the wall clock of an entry. */
  stepMs?: number
  /** Used by `planSeries` only. In `planFaults` the kind would change the faults that the seeds of earlier runs draw. */
  isSeriesOnly?: boolean
}

/**
 * Kinds of faults with their possible targets. The `fields` of a kind are posted to the `/faults` endpoint of the
 * target; kinds without `fields` act on the process or on the membership list.
 */
export const faultKinds = {
  entry_kill: { targets: ENTRIES },
  entry_pause: { targets: ENTRIES },
  entry_stop: { targets: ENTRIES },
  entry_hup: { targets: ENTRIES, isSeriesOnly: true },
  entry_clock_ahead: { targets: ENTRIES, isSeriesOnly: true, stepMs: 2_000 },
  entry_clock_back: { targets: ENTRIES, isSeriesOnly: true, stepMs: -2_000 },
  route_cut: { targets: ROUTES, fields: { cut: true } },
  route_one_way: { targets: ROUTES, fields: { one_way_cut: 'to_client' } },
  route_one_way_back: { targets: ROUTES, fields: { one_way_cut: 'to_target' } },
  route_freeze: { targets: ROUTES, fields: { freeze: true } },
  route_drip: { targets: ROUTES, fields: { throttle_bytes_per_s: 200 } },
  route_reset: { targets: ROUTES, fields: { reset: true } },
  route_drop_answers: { targets: ROUTES, fields: { drop_answers: 2 } },
  gossip_loss: { targets: GOSSIP_ROUTES, fields: { lose_every: 1 } },
  log_outage: { targets: ['log'], fields: { outage: true } },
  log_slow: { targets: ['log'], fields: { slow_ms: 400 } },
  log_lost_answers: { targets: ['log'], fields: { lose_append_answers: 10 } },
  log_refused_appends: { targets: ['log'], fields: { refuse_appends: true } },
  membership_lag: { targets: ['membership'], fields: { lag_ms: 3000 } },
  membership_outage: { targets: ['membership'], fields: { outage: true } },
  weights_failed: { targets: ['weights'], fields: { fail_loads: 4 } },
  engine_load_failed: { targets: ENGINES, fields: { fail_loads: 2 } },
  engine_load_skipped: { targets: ENGINES, fields: { skip_load: true } },
  engine_crash: { targets: ENGINES, fields: { crash: true } },
  engine_drop: { targets: ENGINES, fields: { drop_after_tokens: 5 } },
  engine_truncated: { targets: ENGINES, fields: { truncate_streams: 3 } },
  engine_freeze: { targets: ENGINES, fields: { freeze: true } },
  engine_slow: { targets: ENGINES, fields: { slow_factor: 5 } },
  engine_unstamped: { targets: ENGINES, fields: { unstamped: true } },
  engine_old_cache: { targets: ENGINES, fields: { keep_cache_on_load: true } },
  service_reset: { targets: SERVICES, fields: { reset_before_answer: 5 } },
  service_truncated: { targets: SERVICES, fields: { truncate: 5 } },
  service_unframed: { targets: SERVICES, fields: { close_delimited: 5 } },
  service_swapped: { targets: SERVICES, fields: { swap_answers: true } },
  service_freeze: { targets: SERVICES, fields: { freeze: true } },
  service_slow: { targets: SERVICES, fields: { slow_factor: 20 } },
  service_rejects: { targets: SERVICES, fields: { reject_503: 5 } },
  upstream_leaving: { targets: [...SERVICES, ...ENGINES].filter(id => id.endsWith('-3')) },
  trainer_lost_reads: { targets: TRAINERS, fields: { drop_read_answers: 2 } },
  trainer_pause: { targets: TRAINERS, fields: { paused: true } },
  balancer_outage: { targets: ['balancer'], fields: { outage: true } }
} satisfies Record<string, FaultDefinition>
