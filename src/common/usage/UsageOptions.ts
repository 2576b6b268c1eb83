/** Settings of usage reports. */
export interface UsageOptions {
  /** Name of this entry, also as the holder of the duty. */
  entryId: string
  /** Length of a window. */
  windowMs: number
  /** Time after the end of a window by which its report is due. */
  lateMs: number
  /** No holder acts within this time after it gained the leadership. */
  leaseMs: number
}
