/** A broken rule with the records that show it. */
export interface Violation {
  rule: string
  /** Request, sample, upstream, entry or contract that it concerns. */
  subject: string
  message: string
  records: unknown[]
}
