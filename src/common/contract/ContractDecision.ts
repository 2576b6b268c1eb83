/** Outcome of one `publish` record, as decided by the fold. */
export type ContractDecision =
  | { kind: 'accepted', revision: number }
  | { kind: 'conflict', currentRevision: number }
  | { kind: 'invalid', field: string, rule: string }
