import { z } from 'zod'

/** One host of the platform's membership list. Addresses are `ip:port`. */
export const memberSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'upstream']),
  /** Service of an upstream; absent for an entry. */
  service: z.string().optional(),
  address: z.string(),
  /** UDP address of an entry, for gossip. */
  peer_address: z.string().optional(),
  /** connect-es address of an entry, for calls between entries. */
  rpc_address: z.string().optional(),
  failure_domain: z.string(),
  state: z.enum(['live', 'leaving']),
  /** Changes when the host is replaced or restarted. */
  incarnation: z.string()
})
