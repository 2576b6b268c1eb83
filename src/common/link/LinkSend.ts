/** A body on its way over one link, until its response or its end. */
export interface LinkSend {
  readonly bytes: number
  readonly startedAtMs: number
  /** Unsent bytes of its size class at its start, its own included. */
  readonly classBytes: number
  /** Bytes that have not left the host, as modelled. */
  unsentBytes: number
  /** When the whole body had left the host, as modelled or as its response proves; undefined before. */
  sentAtMs?: number
  /** Bytes that shared the link with it: its own, those unsent at its start and those started since. */
  linkBytes: number
  /** Bytes of other sends that started no earlier and have had their response. */
  carriedBytes: number
}
