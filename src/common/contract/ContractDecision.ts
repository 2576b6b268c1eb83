/** What the fold decided about one `publish` record. */
export type ContractDecision =
  | { kind: 'accepted', revision: number }
  | { kind: 'conflict', currentRevision: number }
  | { kind: 'invalid', field: string, rule: string }
