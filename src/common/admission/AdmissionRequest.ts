import type { BalancerQuery } from '../upstream/balance/BalancerQuery.js'

/** A request for a slot on an upstream. */
export interface AdmissionRequest extends BalancerQuery {
  organisation: string
  service: string
  /** Name of the work class, or `trainer/{trainer}` for samples. */
  workClass: string
  /** `performance.now()` by which the request must have completed. */
  deadlineAtMs: number
  /** Same for equal requests of an organisation; see `ISuspectTable`. */
  fingerprint: string
  /** Upstreams that must not be used, for example ones that failed this request already. */
  excluded?: ReadonlySet<string>
  /** Removes the request from the queue when the caller disconnects. */
  signal?: AbortSignal
}
