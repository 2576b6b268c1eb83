import { z } from 'zod'
import { identifierSchema } from '../schema/identifierSchema.js'
import { ipAddressSchema } from './ipAddressSchema.js'

// A shorter key could be found by brute force from one recorded datagram.
const MIN_PEER_KEY_LENGTH = 16
const MAX_TIMER_MS = 2_147_483_647

const BYTES_PER_MB = 1_000_000
/** So that a single body fits in what clients may use. */
const MAX_BODY_SHARE = 1 / 6

const milliseconds = (min: number, defaultValue: number): z.ZodDefault<z.ZodInt> => z.int().min(min).max(MAX_TIMER_MS).default(defaultValue)
const integer = (min: number, max: number, defaultValue: number): z.ZodDefault<z.ZodInt> => z.int().min(min).max(max).default(defaultValue)

const serviceSchema = z.strictObject({
  kind: z.enum(['engine', 'plain']),
  checks_fence: z.boolean().default(true),
  order_addresses: z.array(ipAddressSchema).default([]),
  swap_parallel: integer(1, 1000, 2),
  balancer: z.enum(['random', 'round-robin', 'least-outstanding', 'expected-wait']).default('expected-wait'),
  admission: z.enum(['bounded', 'unbounded']).default('bounded'),
  hedging: z.boolean().default(true),
  swap_order: z.enum(['planned', 'listed']).default('planned')
})

/** Schema of the INI settings file of an entry daemon. */
export const entrySettingsFileSchema = z.strictObject({
  entry: z.strictObject({
    id: identifierSchema,
    failure_domain: identifierSchema,
    listen: ipAddressSchema,
    peer: ipAddressSchema,
    rpc: ipAddressSchema,
    peer_key: z.string().min(MIN_PEER_KEY_LENGTH).optional(),
    peer_key_file: z.string().min(1).optional()
  }).refine(entry => (entry.peer_key === undefined) !== (entry.peer_key_file === undefined), 'needs either peer_key or peer_key_file'),
  platform: z.strictObject({ log: ipAddressSchema, membership: ipAddressSchema }),
  operators: z.record(identifierSchema, z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hex')).default({}),
  service: z.record(identifierSchema, serviceSchema).default({}),
  timing: z.strictObject({
    append_interval_ms: milliseconds(1, 50),
    lease_ms: milliseconds(100, 10_000),
    lease_guard_ms: milliseconds(0, 2000),
    retention_ms: milliseconds(1000, 3_600_000),
    membership_poll_ms: milliseconds(10, 1000),
    load_poll_ms: milliseconds(10, 500),
    gossip_interval_ms: milliseconds(10, 400),
    heartbeat_timeout_ms: milliseconds(50, 3000),
    drain_notice_ms: milliseconds(0, 3000),
    drain_limit_ms: milliseconds(0, 600_000)
  }).refine(timing => timing.lease_guard_ms < timing.lease_ms, { path: ['lease_guard_ms'], message: 'must be less than lease_ms' })
    .refine(timing => timing.gossip_interval_ms < timing.heartbeat_timeout_ms, { path: ['heartbeat_timeout_ms'], message: 'must be more than gossip_interval_ms' })
    .prefault({}),
  http: z.strictObject({
    // Default for a submitted step of 512 prompts of up to 32 KiB each.
    max_body_bytes: integer(1024, 1_073_741_824, 16_777_216),
    max_header_bytes: integer(1024, 1_048_576, 16_384),
    max_connections: integer(1, 1_000_000, 10_000),
    // Holds more than a hundred bodies of the default size beside the process.
    memory_mb: integer(200, 1_048_576, 4096),
    idle_timeout_ms: milliseconds(100, 65_000),
    max_stream_ms: milliseconds(100, 3_600_000)
  }).refine(http => http.max_body_bytes <= http.memory_mb * BYTES_PER_MB * MAX_BODY_SHARE, { path: ['max_body_bytes'], message: 'must be at most a sixth of memory_mb' })
    .prefault({})
})
