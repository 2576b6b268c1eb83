/** Contract that a ready entry showed as in force. */
export interface ContractView {
  entry: string
  organisation: string
  revision: number
  text: string
  /** Start of the request. */
  atMs: number
  /** True for the views after all faults were healed and the work settled. */
  isFinal: boolean
}
