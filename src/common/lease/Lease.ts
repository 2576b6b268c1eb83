/** A lease held by this entry. */
export interface Lease {
  name: string
  /** Fencing token: offset of the accepted lease record. */
  fence: number
}
