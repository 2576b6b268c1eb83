/** Period during which the membership list marked an upstream as leaving. */
export interface LeavingMark {
  upstream: string
  fromMs: number
  toMs: number
}
