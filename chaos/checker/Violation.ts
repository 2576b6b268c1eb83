/** A violated rule with the records that prove it. */
export interface Violation {
  rule: string
  /** Request, sample, upstream, entry or contract concerned. */
  subject: string
  message: string
  records: unknown[]
}
