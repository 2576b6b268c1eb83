import type { BalancerQuery } from '../upstream/balance/BalancerQuery.js'

/** A request that waits for a place on an upstream. */
export interface AdmissionRequest extends BalancerQuery {
  organisation: string
  service: string
  /** Name of the work class, or `trainer/<name>` for samples. */
  workClass: string
  /** `performance.now()` by which the work must be finished. */
  deadlineAtMs: number
  /** Identifies equal requests of an organisation, see `ISuspectTable`. */
  fingerprint: string
  /** Upstreams that must not be used, for example ones that failed this request already. */
  excluded?: ReadonlySet<string>
  /** Aborts the wait when the caller goes away. */
  signal?: AbortSignal
}
