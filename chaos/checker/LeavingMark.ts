/** Time during which an upstream was marked as leaving. */
export interface LeavingMark {
  upstream: string
  fromMs: number
  toMs: number
}
