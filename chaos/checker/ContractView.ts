/** Contract that a ready entry reported as in force. */
export interface ContractView {
  entry: string
  organisation: string
  revision: number
  text: string
  /** Time at which the request for the contract was sent. */
  atMs: number
  /** True for views read after all faults were removed and all entries had converged on the accepted revisions. */
  isFinal: boolean
}
