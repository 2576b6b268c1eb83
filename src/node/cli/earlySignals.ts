const SIGNALS = ['SIGTERM', 'SIGINT'] as const

/** Records stop signals that arrive while the modules of the program are loading, which takes seconds on a slow host. */
class EarlySignals {
  private _firstSignal: string | undefined
  private readonly _onSignal = (signal: string): void => { this._firstSignal ??= signal }

  /** Installs handlers, because a signal without a handler terminates the process. */
  capture (): void {
    for (const signal of SIGNALS) process.on(signal, this._onSignal)
  }

  /** Removes the handlers once the caller has installed its own. Returns the first signal received, if any. */
  release (): string | undefined {
    for (const signal of SIGNALS) process.off(signal, this._onSignal)
    return this._firstSignal
  }
}

/** Early signals of this process. */
export const earlySignals = new EarlySignals()
