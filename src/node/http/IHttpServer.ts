/** HTTP listener for callers, trainers and operators. */
export interface IHttpServer {
  /** Starts listening and returns the bound `ip:port`. */
  start (): Promise<string>
  /** Number of requests whose response has not been written completely. */
  inFlight (): number
  /** Time since the last new connection, in ms; since the start if there was none. */
  timeSinceConnectionMs (): number
  /** Stops accepting connections and closes idle ones; call it repeatedly while requests finish. */
  closeIdleConnections (): void
}
