/** A lease held by this entry. */
export interface Lease {
  name: string
  /** Fencing number: offset of the accepted lease record. */
  fence: number
}
