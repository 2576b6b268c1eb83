const SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Stop signals that arrive while the program's modules still load, which takes seconds on a slow host. */
class EarlySignals {
  private _first: string | undefined
  private readonly _onSignal = (signal: string): void => { this._first ??= signal }

  /** Without a handler a signal ends the process. */
  capture (): void {
    for (const signal of SIGNALS) process.on(signal, this._onSignal)
  }

  /** Hands over to handlers of the caller's own; returns the signal that came first, if any. */
  release (): string | undefined {
    for (const signal of SIGNALS) process.off(signal, this._onSignal)
    return this._first
  }
}

/** The process's early signals. */
export const earlySignals = new EarlySignals()
