/** What a reader of logs asks for: the log field that names it, and its id. */
export interface LogSubject {
  readonly kind: 'batch' | 'request' | 'item'
  readonly id: string
}
