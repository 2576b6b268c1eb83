/** Errors of the contract layer. `mayTakeEffect` tells whether the record may still be added to the log. */
export type ContractError =
  | { kind: 'contract_invalid', message: string, line: number, field: string, rule: string }
  | { kind: 'contract_conflict', message: string, currentRevision: number }
  | { kind: 'contract_unknown', message: string }
  | { kind: 'contract_unavailable', message: string, mayTakeEffect: boolean }
