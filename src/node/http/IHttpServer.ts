/** The listener for callers, trainers and operators. */
export interface IHttpServer {
  /** Listens and returns the `ip:port`. */
  start (): Promise<string>
  /** Requests whose response is not written completely. */
  inFlight (): number
  /** Time since a caller last connected, in ms; since the start when none has. */
  quietMs (): number
  /** Accepts no further connections and closes idle ones; call repeatedly while requests finish. */
  closeIdle (): void
}
