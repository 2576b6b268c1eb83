import { writeFileSync } from 'node:fs'
import { ManagedProcess } from './ManagedProcess.js'

const STEPPED_CLOCK = new URL('./steppedClock.js', import.meta.url).href

/** An entry daemon with its addresses. */
export class EntryProcess extends ManagedProcess {
  constructor (
    name: string,
    readonly failureDomain: string,
    readonly listen: string,
    readonly peer: string,
    readonly rpc: string,
    readonly configFile: string
  ) {
    super(name, 'src/node/cli/main.js', ['entry', '--config', configFile])
  }

  /** Moves the entry's time of day by this much against the host's; 0 sets it right. */
  stepClock (offsetMs: number): void {
    writeFileSync(this._clockFile, String(offsetMs))
  }

  protected override get imports (): string[] {
    return [STEPPED_CLOCK]
  }

  protected override get environment (): NodeJS.ProcessEnv {
    return { HYSSOPVALVE_CLOCK_FILE: this._clockFile }
  }

  private get _clockFile (): string {
    return `${this.configFile}.clock`
  }

  /** Status of `/readyz`; 0 when the entry does not answer. */
  async fetchReadinessStatus (): Promise<number> {
    const response = await fetch(`http://${this.listen}/readyz`, { signal: AbortSignal.timeout(5000) }).catch(() => undefined)
    await response?.body?.cancel()
    return response?.status ?? 0
  }
}
