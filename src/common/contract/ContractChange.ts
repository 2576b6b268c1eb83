/** Field that differs between two revisions of a contract; undefined stands for an absent field. */
export interface ContractChange {
  field: string
  before: string | undefined
  after: string | undefined
}
